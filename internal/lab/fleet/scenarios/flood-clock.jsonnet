// A flood, and clocks a second apart.
{
  gateways: 12, caches: 4, load: { per_second: 480, objects: 500 },
  limit: { lookups_a_second: 120, fleet: true, least: 0.9 },
  offsets: [{ who: 'n2', ms: 1000 }, { who: 'n3', ms: -1000 }],
  steps: [{ at_ms: 15000, do: 'mark' }],
  end_ms: 20000,
}

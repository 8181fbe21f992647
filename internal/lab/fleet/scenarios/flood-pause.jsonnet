// A flood, and a gateway that stands still past its loans, twice.
{
  gateways: 12, caches: 4, load: { per_second: 480, objects: 500 },
  limit: { lookups_a_second: 120, fleet: true, least: 0.8 },
  steps: [
    { at_ms: 15000, do: 'pause', pick: 1, as: 'x', settle: 'none' },
    { at_ms: 25000, do: 'resume', who: ['@x'], bound_ms: 15000 },
    { at_ms: 40000, do: 'pause', who: ['@x'], settle: 'none' },
    { at_ms: 46000, do: 'resume', who: ['@x'], bound_ms: 15000 },
  ],
  end_ms: 16000,
}

// The same flood where each gateway has the limit for itself, as without a fleet.
{
  gateways: 12, caches: 4, load: { per_second: 480, objects: 500 },
  limit: { lookups_a_second: 120, fleet: false },
  steps: [{ at_ms: 15000, do: 'mark' }],
  end_ms: 20000,
}

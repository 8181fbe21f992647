// Twelve more gateways come amid a flood.
{
  gateways: 24, late: 12, caches: 4, load: { per_second: 480, objects: 500 },
  limit: { lookups_a_second: 120, fleet: true, least: 0.8 },
  steps: [{ at_ms: 15000, do: 'start', who: ['n%d' % i for i in std.range(13, 24)], bound_ms: 30000 }],
  end_ms: 35000,
}

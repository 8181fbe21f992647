// Twelve gateways under a fleet's limit of 120 lookups a second, and a flood of 480.
{
  gateways: 12, caches: 4, load: { per_second: 480, objects: 500 },
  limit: { lookups_a_second: 120, fleet: true, least: 0.9 },
}

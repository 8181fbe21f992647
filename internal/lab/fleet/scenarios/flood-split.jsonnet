// A flood on both sides of a split of three and nine, for 60 s.
{
  gateways: 12, caches: 4, load: { per_second: 480, objects: 500 },
  limit: { lookups_a_second: 120, fleet: true, least: 0.9 },
  steps: [
    { at_ms: 15000, do: 'split', sizes: [3, 9], settle: 'none' }, // a side of three may take longer than the cut to give nine up
    { at_ms: 75000, do: 'heal', bound_ms: 30000 },
  ],
  end_ms: 15000,
}

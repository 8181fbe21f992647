// Five and seven of twelve cannot hear each other for 60 s.
{
  gateways: 12, caches: 3, load: { per_second: 40 },
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'split', sizes: [5, 7], bound_ms: 45000 },
    { at_ms: 67000, do: 'heal', bound_ms: 30000 },
  ],
  end_ms: 32000,
}

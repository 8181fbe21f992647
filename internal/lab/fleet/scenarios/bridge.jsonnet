// Three sides that hear nothing of each other, and one gateway that hears them all, for 40 s.
{
  gateways: 12,
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'split', sizes: [4, 4, 3], bridge: 1, settle: 'none' },
    { at_ms: 47000, do: 'heal', bound_ms: 30000 },
  ],
  end_ms: 32000,
}

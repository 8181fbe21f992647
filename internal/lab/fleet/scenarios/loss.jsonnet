// Every link loses one datagram in five for 60 s.
{
  gateways: 12,
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'link', from: ['*'], to: ['*'], loss: 0.2, delay_ms: 2, jitter_ms: 8, reorder: 0.02, bound_ms: 15000 },
    { at_ms: 67000, do: 'heal', bound_ms: 15000 },
  ],
  end_ms: 12000,
}

// One hears another, but not the other way round.
{
  gateways: 12,
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'link', from: ['n4'], to: ['n7'], cut: true, bound_ms: 15000 },
    { at_ms: 37000, do: 'heal', bound_ms: 15000 },
  ],
  end_ms: 17000,
}

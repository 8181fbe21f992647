// Three leave by their own will, one after the other, as in a roll.
{
  gateways: 12,
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'stop', pick: 3, bound_ms: 10000 },
  ],
  end_ms: 12000,
}

// The clock of one is an hour fast; it is killed and started, and another one beside it.
{
  gateways: 12, offsets: [{ who: 'n5', ms: 3600000 }],
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'kill', who: ['n5', 'n6'], bound_ms: 30000 },
    { at_ms: 33000, do: 'start', who: ['n5', 'n6'], bound_ms: 15000 },
  ],
  end_ms: 17000,
}

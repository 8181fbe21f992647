// Half of the fleet is killed and started again at once.
{
  gateways: 12, disk: true, caches: 3, load: { per_second: 40 },
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'kill', pick: 6, as: 'half', settle: 'none' },
    { at_ms: 7300, do: 'start', who: ['@half'], bound_ms: 20000 },
  ],
  end_ms: 22000,
}

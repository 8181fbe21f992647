// One is killed and started again every 2 s, ten times.
{
  gateways: 12,
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'kill', pick: 1, as: 'flapper', settle: 'none', repeat: 10, every_ms: 2000 },
    { at_ms: 8000, do: 'start', who: ['@flapper'], settle: 'none' },
    { at_ms: 27000, do: 'mark', bound_ms: 20000 },
  ],
  end_ms: 22000,
}

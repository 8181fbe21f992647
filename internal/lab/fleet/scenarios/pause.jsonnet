// One of twelve stands still for 30 s, then goes on.
{
  gateways: 12, caches: 3, load: { per_second: 40 },
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'pause', pick: 1, as: 'still', bound_ms: 30000 },
    { at_ms: 37000, do: 'resume', who: ['@still'], bound_ms: 15000 },
  ],
  end_ms: 17000,
}

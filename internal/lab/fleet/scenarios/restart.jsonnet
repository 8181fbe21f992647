// One of twelve is killed and started again at once under the same name, and later once more without what it kept on disk.
{
  gateways: 12, disk: true, caches: 3, load: { per_second: 40 },
  steps: [
    { at_ms: 8000, do: 'mark' },
    { at_ms: 9000, do: 'kill', pick: 1, as: 'victim', settle: 'none' },
    { at_ms: 9100, do: 'start', who: ['@victim'], bound_ms: 15000 },
    { at_ms: 26000, do: 'kill', who: ['@victim'], settle: 'none' },
    { at_ms: 26100, do: 'start', who: ['@victim'], forget: true, bound_ms: 15000 },
  ],
  end_ms: 17000,
}

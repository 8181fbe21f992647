// A flood, and a gateway that is killed and forgets what it lent and spent, five times.
{
  gateways: 12, caches: 4, load: { per_second: 480, objects: 500 },
  limit: { lookups_a_second: 120, fleet: true, least: 0.8 },
  steps: [
    { at_ms: 15000, do: 'kill', pick: 1, as: 'x', settle: 'none', repeat: 5, every_ms: 6000 },
    { at_ms: 15200, do: 'start', who: ['@x'], settle: 'none' },
    { at_ms: 45000, do: 'mark', bound_ms: 15000 },
  ],
  end_ms: 16000,
}

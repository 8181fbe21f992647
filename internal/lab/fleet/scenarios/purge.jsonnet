// Half of the fleet does not hear the bulletin while it tells purges: they hear of them from the others; then the way comes back.
{
  gateways: 12, fleet: { purges: true }, caches: 2, load: { per_second: 40 },
  local deaf = ['n%d' % i for i in std.range(7, 12)],
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'link', from: deaf, to: ['bulletin'], cut: true },
    { at_ms: 7000, do: 'link', from: ['bulletin'], to: deaf, cut: true },
    { at_ms: 9000, do: 'purge', least: 6, bound_ms: 5000 },
    { at_ms: 15000, do: 'purge', least: 6, bound_ms: 5000 },
    { at_ms: 21000, do: 'heal' },
    { at_ms: 30000, do: 'purge', bound_ms: 1000 },
  ],
  end_ms: 5000,
}

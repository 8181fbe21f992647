// One datagram in twenty is lost between all.
local all = ['n%d' % i for i in std.range(1, 12)];
(import '_broadcast.libsonnet.jsonnet')(['n2'], [
  { at_ms: 1000, do: 'link', from: all, to: all, loss: 0.05, delay_ms: 1, jitter_ms: 4, settle: 'none' },
])

// The root and another stand still for twelve seconds, then go on as if nothing had been.
(import '_broadcast.libsonnet.jsonnet')(['n2'], [
  { at_ms: 8000, do: 'pause', who: ['@root', '@first-b1'], settle: 'none' },
  { at_ms: 20000, do: 'resume', who: ['@root', '@first-b1'], settle: 'none' },
])

// The tree's root dies, then a site's first, while purges are told, and both come again.
(import '_broadcast.libsonnet.jsonnet')(['n2'], [
  { at_ms: 8000, do: 'kill', who: ['@root'], settle: 'none' },
  { at_ms: 11000, do: 'kill', who: ['@first-b2'], settle: 'none' },
  { at_ms: 20000, do: 'start', who: ['@root', '@first-b2'], settle: 'none' },
])

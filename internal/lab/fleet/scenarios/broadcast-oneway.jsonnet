// The root is not heard by the other region's first, nor that one by a site's first below it, while the other ways are open.
(import '_broadcast.libsonnet.jsonnet')(['n2'], [
  { at_ms: 8000, do: 'link', from: ['@root'], to: ['@first-b1'], cut: true, settle: 'none' },
  { at_ms: 8000, do: 'link', from: ['@first-b1'], to: ['@first-b2'], cut: true, settle: 'none' },
])

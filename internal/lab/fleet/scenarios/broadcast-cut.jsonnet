// One region is cut from the other, which alone hears the bulletin, and then the way comes back: what was told meanwhile is made up for.
(import '_broadcast.libsonnet.jsonnet')(['n2'], [
  { at_ms: 8000, do: 'split', groups: [['n1', 'n2', 'n3', 'n4', 'n5', 'n6'], ['n7', 'n8', 'n9', 'n10', 'n11', 'n12']], settle: 'none' },
  { at_ms: 20000, do: 'link', from: ['n1', 'n2', 'n3', 'n4', 'n5', 'n6'], to: ['n7', 'n8', 'n9', 'n10', 'n11', 'n12'], settle: 'none' },
  { at_ms: 20000, do: 'link', to: ['n1', 'n2', 'n3', 'n4', 'n5', 'n6'], from: ['n7', 'n8', 'n9', 'n10', 'n11', 'n12'], settle: 'none' },
])

// A flood through one gateway of twelve; then that one's ways to six others are cut.
{
  gateways: 12, caches: 4, load: { per_second: 300, objects: 500, through: ['n1'] },
  limit: { lookups_a_second: 120, fleet: true, least: 0.5 },
  steps: [
    { at_ms: 20000, do: 'split', groups: [['n1', 'n2', 'n3', 'n4', 'n5', 'n6'], ['n7', 'n8', 'n9', 'n10', 'n11', 'n12']], bound_ms: 45000 },
    { at_ms: 60000, do: 'heal', bound_ms: 30000 },
  ],
  end_ms: 15000,
}

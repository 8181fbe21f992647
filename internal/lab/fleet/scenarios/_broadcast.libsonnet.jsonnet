// Twelve gateways in four sites of two zones, a zone a region, that spread purges by fleet/broadcast; ten purges a second for half a minute,
// which but a few gateways hear of the bulletin.
function(hear, steps, share=0.99, more={}) {
  gateways: 12, fleet: { broadcast: true },
  local of(from, to) = ['n%d' % i for i in std.range(from, to)],
  local deaf = [who for who in of(1, 12) if !std.member(hear, who)],
  places: [
    { who: of(1, 3), region: 'north', zone: 'a', site: 'a1' },
    { who: of(4, 6), region: 'north', zone: 'a', site: 'a2' },
    { who: of(7, 9), region: 'south', zone: 'b', site: 'b1' },
    { who: of(10, 12), region: 'south', zone: 'b', site: 'b2' },
  ],
  purges: { per_second: 10, from_ms: 2000, for_ms: 30000, share: share },
  steps: [
    { at_ms: 500, do: 'link', from: deaf, to: ['bulletin'], cut: true, settle: 'none' },
    { at_ms: 500, do: 'link', from: ['bulletin'], to: deaf, cut: true, settle: 'none' },
  ] + steps + [{ at_ms: 32000, do: 'mark', settle: 'none' }],
  end_ms: 16000,
} + more

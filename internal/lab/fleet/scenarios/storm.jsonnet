// Twenty-four new gateways come to twelve at once.
{
  gateways: 36, late: 24,
  steps: [
    { at_ms: 6000, do: 'mark' },
    { at_ms: 7000, do: 'start', who: ['n%d' % i for i in std.range(13, 36)], bound_ms: 30000 },
  ],
  end_ms: 32000,
}

// One of twelve is killed and stays away.
{
  gateways: 12,
  steps: [{ at_ms: 8000, do: 'mark' }, { at_ms: 9000, do: 'kill', pick: 1, bound_ms: 30000 }],
  end_ms: 32000,
}

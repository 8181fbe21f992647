// One clock is an hour fast, one an hour slow, and that of a gateway that hears the bulletin an hour fast too; one of them starts anew.
(import '_broadcast.libsonnet.jsonnet')(['n2'], [
  { at_ms: 8000, do: 'kill', who: ['n8'], settle: 'none' },
  { at_ms: 10000, do: 'start', who: ['n8'], settle: 'none' },
], more={ offsets: [{ who: 'n5', ms: 3600000 }, { who: 'n8', ms: -3600000 }, { who: 'n2', ms: 3600000 }] })

// Operator settings, in addition to the configuration that the platform provides. A gateway reads this file at startup
// and at each SIGHUP if the environment variable FOLDSLIP_SETTINGS names it. The command
// `foldslip config check deploy/foldslip.jsonnet` reports whether the settings are valid. The platform has no persistent
// disk, so the run command in deploy/balancer.toml does not set the variable.
local MB = 1024 * 1024;
{
  // Storage of the endpoint list on disk. A gateway that starts while discovery is unavailable uses the stored list
  // (docs/starting.md).
  list: {
    folder: '/var/lib/foldslip',  // must not be shared with another gateway
    bytes: 8 * MB,  // size limit of each of the two generations on disk
    writes_per_second: 2,  // limit on writes, each of which is synced
  },
}

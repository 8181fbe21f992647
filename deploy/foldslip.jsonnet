// The operators' own settings, beside what the platform tells. A gateway reads them if FOLDSLIP_SETTINGS names this file, at
// its start and at SIGHUP; `foldslip config check deploy/foldslip.jsonnet` tells whether they can be used.
// The platform has no lasting disk, so its run line does not name it.
local MB = 1024 * 1024;
{
  // The list of caches kept on disk, to start from when the bulletin is away (docs/starting.md).
  list: {
    folder: '/var/lib/foldslip',  // of this gateway alone
    bytes: 8 * MB,  // of each of two generations
    writes_per_second: 2,  // synced
  },
}

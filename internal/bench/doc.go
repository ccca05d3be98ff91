// Package bench plays fault scenarios against real entry host processes and
// judges what happened.
//
// A Scenario is a table of timed steps. The runner starts the stand-ins, the
// fault proxies and the entry hosts of all domains as a Cluster, offers load
// without regard to answers (open loop), and performs the steps. The checker
// judges from two sources only: the records that the targets wrote and the
// records of the callers. It never asks the router.
//
// All times in records are on the boot-time clock, which the processes of a
// machine share.
package bench

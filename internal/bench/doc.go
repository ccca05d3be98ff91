// Package bench runs fault scenarios against real entry host processes and
// checks the results for violations.
//
// A Scenario is a table of timed steps. The runner starts the stand-ins, the
// fault proxies and the entry hosts of all domains as a Cluster, offers
// open-loop load, and performs the steps. The checker uses two sources only: the
// records that the targets wrote and the records of the callers. It never asks
// the router.
//
// All times in records use the boot-time clock, which the processes of a machine
// share.
package bench

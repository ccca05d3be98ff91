// Package control is the control plane of an entry host.
//
// It follows the log (Follower), writes records to it (Writer), renews the
// leases of the domain's targets when the host is a granter (granter.go),
// assigns homes and permits when it leads its domain (homes.go), plans moves
// (planner.go) and answers the other entry hosts (serve.go). It implements
// view.Source for the request path.
//
// Decisions are taken by the packages lease, membership, ownership and
// journal, which do no I/O; this package gives them events and carries out
// what they decide. Each duty is one goroutine, supervised by suture.
package control

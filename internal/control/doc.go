// Package control is the control plane of an entry host.
//
// It follows the log (Follower), writes records to it (Writer), renews the
// leases of the domain's targets when the host is a granter (granter.go),
// assigns homes and gives permits when it leads its domain (leader.go), plans
// moves (planner.go) and answers the other entry hosts (serve.go). It
// implements view.Source for the request path.
//
// The packages lease, membership, ownership and journal make the decisions and
// do no I/O; this package passes events to them and executes their actions.
// Each service runs in one goroutine that suture supervises.
package control

package bench

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/internal/faultproxy"
)

// relaxedScan is how long new connections are gathered for one scan while no
// link is cut.
const relaxedScan = 100 * time.Millisecond

// Kinds of links, by what they lead to.
const (
	linkCallers = "callers"
	linkForward = "forward"
	linkPeer    = "peer"
	linkTarget  = "target"
	linkLog     = "log"
	linkHosts   = "hosts"
)

// link is one proxy in front of one address.
type link struct {
	kind string
	// source is the domain of all connections, or empty when they are
	// classified by their owner.
	source string
	// domain is where the link leads to, and name the host there.
	domain, name string
	upstream     string
	proxy        *faultproxy.Proxy
	// cutFrom is a domain whose connections on this link are cut.
	cutFrom string
	// loseAnswers is the number of answers still to be lost.
	loseAnswers int
}

// network holds all links and the cuts in force. It is used by one goroutine.
type network struct {
	plan    *Plan
	classes *classifier
	sup     *suture.Supervisor
	links   []*link
	// cut maps a domain to how it is cut off.
	cut map[string]Action
	// cuts is the number of cuts in force. Without any, a connection need not
	// wait for its class, which only matters for its delay.
	cuts atomic.Int64
}

func newNetwork(p *Plan, c *classifier, sup *suture.Supervisor) *network {
	return &network{plan: p, classes: c, sup: sup, cut: map[string]Action{}}
}

// add opens a proxy in front of an address.
func (n *network) add(kind, source, domain, name, upstream string) (*link, error) {
	l := &link{kind: kind, source: source, domain: domain, name: name, upstream: upstream}
	o := faultproxy.Options{Upstream: upstream}
	if source == "" && kind != linkCallers {
		o.Classify, o.ProvisionalClass = n.classify, n.provisional
	}
	var err error
	if l.proxy, err = faultproxy.New(o); err != nil {
		return nil, &RunError{Op: "open a proxy", Err: err}
	}
	n.sup.Add(l.proxy)
	n.links = append(n.links, l)
	n.applyTo(l)
	return l, nil
}

// classify names the domain of a connection. Without cuts it waits first, so
// that many new connections share one scan.
func (n *network) classify(remote net.Addr) string {
	if n.cuts.Load() == 0 {
		time.Sleep(relaxedScan)
	}
	return n.classes.classify(remote)
}

func (n *network) provisional() (string, bool) { return "", n.cuts.Load() == 0 }

// find returns the link of a kind whose connections come from a domain.
func (n *network) find(kind, source string) *link {
	for _, l := range n.links {
		if l.kind == kind && l.source == source {
			return l
		}
	}
	return nil
}

// apply sets the faults of all links from the cuts in force.
func (n *network) apply() {
	n.count()
	for _, l := range n.links {
		n.applyTo(l)
	}
}

// count sets the number of cuts in force.
func (n *network) count() {
	cuts := len(n.cut)
	for _, l := range n.links {
		if l.cutFrom != "" {
			cuts++
		}
	}
	n.cuts.Store(int64(cuts))
}

func (n *network) applyTo(l *link) {
	switch {
	case l.kind == linkCallers:
		l.proxy.SetFaults("", n.callerFaults())
	case l.source != "":
		l.proxy.SetFaults("", n.faults(l, l.source))
	default:
		for _, d := range n.plan.Deployment.Domains {
			l.proxy.SetFaults(d.Name, n.faults(l, d.Name))
		}
	}
}

// callerFaults is the link from the callers, who reach each domain also while
// it is cut off from the others.
func (n *network) callerFaults() faultproxy.Faults {
	return faultproxy.Faults{ConnectDelay: n.plan.Connect, UpDelay: n.plan.CallerRTT / 2, DownDelay: n.plan.CallerRTT / 2}
}

// faults is the link from a domain.
func (n *network) faults(l *link, source string) faultproxy.Faults {
	f := faultproxy.Faults{ConnectDelay: n.plan.Connect, LoseAnswers: l.loseAnswers}
	if source != l.domain {
		f.UpDelay, f.DownDelay = n.plan.DomainRTT/2, n.plan.DomainRTT/2
		f.Cut = n.cutBetween(source, l.domain)
	}
	if l.cutFrom == source {
		f.Cut = faultproxy.CutBoth
	}
	return f
}

// cutBetween returns the cut of connections from one domain to another.
func (n *network) cutBetween(from, to string) faultproxy.Cut {
	up, down := false, false
	for domain, how := range n.cut {
		if domain != from && domain != to {
			continue
		}
		// One way: the bytes that leave the domain are held.
		up = up || how == ActCutDomain || domain == from
		down = down || how == ActCutDomain || domain == to
	}
	switch {
	case up && down:
		return faultproxy.CutBoth
	case up:
		return faultproxy.CutUp
	case down:
		return faultproxy.CutDown
	}
	return faultproxy.CutNone
}

// carried returns the bytes that the links of the kinds have carried.
func (n *network) carried(kind string) int64 {
	sum := int64(0)
	for _, l := range n.links {
		if l.kind == kind {
			sum += l.proxy.BytesDelivered()
		}
	}
	return sum
}

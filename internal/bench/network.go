package bench

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/internal/faultproxy"
)

// scanBatchDelay is how long new connections are collected for one scan while no
// link is cut.
const scanBatchDelay = 100 * time.Millisecond

// Kinds of links, by destination.
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
	// source is the domain of all connections, or empty when each connection is
	// classified by the process that opened it.
	source string
	// domain and name are those of the destination host.
	domain, name string
	upstream     string
	proxy        *faultproxy.Proxy
	// cutFrom is a domain whose connections on this link are cut.
	cutFrom string
	// loseAnswers is the number of responses that the proxy is told to lose.
	loseAnswers int
}

// network holds all links and the active cuts. Only one goroutine may use it.
type network struct {
	plan       *Plan
	classifier *classifier
	sup        *suture.Supervisor
	links      []*link
	// domainCuts maps a domain to the action that cuts it off.
	domainCuts map[string]Action
	// activeCuts is the number of active cuts. Without any, a connection need not
	// wait for its class, which then only affects its delay.
	activeCuts atomic.Int64
}

func newNetwork(p *Plan, c *classifier, sup *suture.Supervisor) *network {
	return &network{plan: p, classifier: c, sup: sup, domainCuts: map[string]Action{}}
}

// addLink starts a proxy in front of an address.
func (n *network) addLink(kind, source, domain, name, upstream string) (*link, error) {
	l := &link{kind: kind, source: source, domain: domain, name: name, upstream: upstream}
	o := faultproxy.Options{Upstream: upstream}
	if source == "" && kind != linkCallers {
		o.Classify, o.ProvisionalClass = n.classify, n.provisionalClass
	}
	var err error
	if l.proxy, err = faultproxy.New(o); err != nil {
		return nil, &RunError{Op: "open a proxy", Err: err}
	}
	n.sup.Add(l.proxy)
	n.links = append(n.links, l)
	n.applyLinkFaults(l)
	return l, nil
}

// classify returns the domain that opened a connection. Without cuts it waits
// first, so that many new connections share one scan.
func (n *network) classify(remote net.Addr) string {
	if n.activeCuts.Load() == 0 {
		time.Sleep(scanBatchDelay)
	}
	return n.classifier.classify(remote)
}

func (n *network) provisionalClass() (string, bool) { return "", n.activeCuts.Load() == 0 }

// findLink returns the link of a kind whose connections come from a domain.
func (n *network) findLink(kind, source string) *link {
	for _, l := range n.links {
		if l.kind == kind && l.source == source {
			return l
		}
	}
	return nil
}

// applyFaults sets the faults of all links from the active cuts.
func (n *network) applyFaults() {
	n.countCuts()
	for _, l := range n.links {
		n.applyLinkFaults(l)
	}
}

// countCuts updates the number of active cuts.
func (n *network) countCuts() {
	cuts := len(n.domainCuts)
	for _, l := range n.links {
		if l.cutFrom != "" {
			cuts++
		}
	}
	n.activeCuts.Store(int64(cuts))
}

func (n *network) applyLinkFaults(l *link) {
	switch {
	case l.kind == linkCallers:
		l.proxy.SetFaults("", n.callerFaults())
	case l.source != "":
		l.proxy.SetFaults("", n.linkFaults(l, l.source))
	default:
		for _, d := range n.plan.Deployment.Domains {
			l.proxy.SetFaults(d.Name, n.linkFaults(l, d.Name))
		}
	}
}

// callerFaults returns the faults of the link from the callers, who can reach a
// domain even while it is cut off from the others.
func (n *network) callerFaults() faultproxy.Faults {
	return faultproxy.Faults{ConnectDelay: n.plan.ConnectDelay, UpDelay: n.plan.CallerRTT / 2, DownDelay: n.plan.CallerRTT / 2}
}

// linkFaults returns the faults of connections from a domain on a link.
func (n *network) linkFaults(l *link, source string) faultproxy.Faults {
	f := faultproxy.Faults{ConnectDelay: n.plan.ConnectDelay, LoseAnswers: l.loseAnswers}
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
	for domain, how := range n.domainCuts {
		if domain != from && domain != to {
			continue
		}
		// A one-way cut holds the bytes that leave the domain.
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

// bytesCarried returns the number of bytes that the links of a kind have carried.
func (n *network) bytesCarried(kind string) int64 {
	sum := int64(0)
	for _, l := range n.links {
		if l.kind == kind {
			sum += l.proxy.BytesDelivered()
		}
	}
	return sum
}

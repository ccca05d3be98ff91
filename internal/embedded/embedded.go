package embedded

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/examples"
	"github.com/boragelock/boragelock/internal/entry"
	"github.com/boragelock/boragelock/internal/settings"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/provider"
)

const (
	// domainCount is the number of failure domains, each with one entry host.
	domainCount = 2
	// serviceMS and sigmaLog set the service times of the targets.
	serviceMS = 5
	sigmaLog  = 0.3
	// hostListLag is the delay after which the host list shows a change.
	hostListLag = 2 * time.Second

	anyPort = "127.0.0.1:0"
)

// Config configures a System.
type Config struct {
	// Deployment is reduced to its first two domains; the addresses of its
	// targets are replaced by those of stand-ins.
	Deployment contract.Deployment
	// Logger receives all log lines. Default: no logging.
	Logger hclog.Logger
	// EditSettings changes the settings of each entry host before it is created.
	// Default: no change.
	EditSettings func(*settings.Settings)
	// EditTarget changes the configuration of each target before it is created.
	// Default: no change.
	EditTarget func(*standin.TargetConfig)
}

// System is a set of entry hosts and of stand-ins for the platform and targets.
type System struct {
	cfg        Config
	supervisor *suture.Supervisor
	Log        *standin.Log
	Targets    map[string]*standin.Target
	Hosts      []*entry.Host

	deployment contract.Deployment
}

// New creates a system. Its listeners are open, but it serves requests only
// after Serve.
func New(cfg Config) (*System, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	s := &System{cfg: cfg, Log: standin.NewLog(standin.LogConfig{}), Targets: map[string]*standin.Target{}}
	s.supervisor = suture.New("embedded", suture.Spec{EventHook: entry.LogSupervisorEvents(cfg.Logger)})
	s.deployment = firstDomains(cfg.Deployment)
	for i := range s.deployment.Targets {
		if err := s.addTarget(&s.deployment.Targets[i]); err != nil {
			return nil, err
		}
	}
	logAddr, err := s.addServer("log", s.Log, nil)
	if err != nil {
		return nil, err
	}
	listAddr, err := s.addServer("hosts", standin.NewHosts(hostListLag, s.hostList()...), nil)
	if err != nil {
		return nil, err
	}
	for i, d := range s.deployment.Domains {
		if err := s.addHost(fmt.Sprintf("entry-%d", i+1), d.Name, logAddr, listAddr); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// firstDomains returns the deployment reduced to its first two domains and their
// targets.
func firstDomains(d contract.Deployment) contract.Deployment {
	d.Domains = slices.Clone(d.Domains[:min(domainCount, len(d.Domains))])
	var targets []contract.Target
	for _, t := range d.Targets {
		if slices.ContainsFunc(d.Domains, func(x contract.Domain) bool { return x.Name == t.Domain }) {
			targets = append(targets, t)
		}
	}
	d.Targets = targets
	return d
}

func (s *System) addTarget(t *contract.Target) error {
	w := s.workload(t.Workload)
	cfg := standin.TargetConfig{
		Name: t.Name, Workload: t.Workload, Domain: t.Domain, Keyed: w.Keyed, Shards: w.Shards, Fencing: w.Fencing,
		Slots: t.Slots, Connections: t.MaxConnections, ServiceMS: serviceMS, SigmaLog: sigmaLog,
		ColdSlots: t.ColdSlots, RampMS: t.RampMS,
	}
	if s.cfg.EditTarget != nil {
		s.cfg.EditTarget(&cfg)
	}
	target := standin.NewTarget(cfg, standin.NewRecorder(nil, true))
	addr, err := s.addServer(t.Name, target, target.Listener)
	if err != nil {
		return err
	}
	t.Addr = addr
	s.Targets[t.Name] = target
	return nil
}

func (s *System) workload(name string) contract.Workload {
	i := slices.IndexFunc(s.deployment.Workloads, func(w contract.Workload) bool { return w.Name == name })
	if i < 0 {
		return contract.Workload{}
	}
	return s.deployment.Workloads[i]
}

// addServer adds a stand-in on its own port and returns its address.
func (s *System) addServer(name string, h http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	addr := ln.Addr().String()
	if wrap != nil {
		ln = wrap(ln)
	}
	s.supervisor.Add(&standin.Server{Name: name, Listener: ln, Handler: h})
	return addr, nil
}

func (s *System) hostList() []provider.Host {
	var out []provider.Host
	for i, d := range s.deployment.Domains {
		out = append(out, provider.Host{Name: fmt.Sprintf("entry-%d", i+1), Domain: d.Name, State: provider.HostLive})
	}
	for _, t := range s.deployment.Targets {
		out = append(out, provider.Host{Name: t.Name, Domain: t.Domain, State: provider.HostLive})
	}
	return out
}

func (s *System) addHost(name, domain, logAddr, listAddr string) error {
	hostSettings := settings.Default()
	hostSettings.Name, hostSettings.Domain = name, domain
	hostSettings.HTTP = settings.HTTP{Listen: anyPort, ForwardListen: anyPort}
	hostSettings.Peer.Listen, hostSettings.Operator.Listen = anyPort, anyPort
	hostSettings.LogURLs, hostSettings.HostListURL = []string{"http://" + logAddr}, "http://"+listAddr
	// An embedded system has no load balancer that must notice the stop.
	hostSettings.Timings.BalancerDelayMS = 0
	for _, h := range s.Hosts {
		hostSettings.SeedPeers = append(hostSettings.SeedPeers, h.PeerAddr())
	}
	if s.cfg.EditSettings != nil {
		s.cfg.EditSettings(&hostSettings)
	}
	h, err := entry.New(entry.Config{Settings: hostSettings, Bootstrap: &s.deployment, Logger: s.cfg.Logger, NewOperatorHandler: entry.OperatorHandler(s.cfg.Logger)})
	if err != nil {
		return err
	}
	s.Hosts = append(s.Hosts, h)
	s.supervisor.Add(h)
	return nil
}

// Serve runs the system until ctx ends.
func (s *System) Serve(ctx context.Context) error {
	err := s.supervisor.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Stop performs a planned stop of all entry hosts concurrently.
func (s *System) Stop(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range s.Hosts {
		wg.Go(func() { h.Stop(ctx) })
	}
	wg.Wait()
}

// Ready waits until every entry host has homes for all targets and permits for its
// own, all hashed shards are active, and the targets that check epochs hold shards
// under a lease. It returns false when ctx ends first.
func (s *System) Ready(ctx context.Context) bool {
	for !s.isReady() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return true
}

func (s *System) isReady() bool {
	for _, h := range s.Hosts {
		v := h.Control().View()
		if v == nil || v.State.Config == nil || len(v.Homes) < len(s.deployment.Targets) {
			return false
		}
		for _, w := range v.State.Table.Workloads {
			for _, sh := range w.Shards[:w.HashedShards] {
				if !sh.Active() || h.Control().Permit(sh.Owner) <= 0 && v.Homes[sh.Owner].Host == v.Self.Name {
					return false
				}
			}
		}
	}
	for _, t := range s.deployment.Targets {
		if w := s.workload(t.Workload); w.Keyed && w.Fencing && !s.Targets[t.Name].HoldsLease() {
			return false
		}
	}
	return true
}

// Print writes the addresses and example commands for a read and a write.
func (s *System) Print(w io.Writer) error {
	for i, h := range s.Hosts {
		if _, err := fmt.Fprintf(w, "entry host %s: callers http://%s, operators http://%s\n",
			s.deployment.Domains[i].Name, h.CallerAddr(), h.OperatorAddr()); err != nil {
			return err
		}
	}
	for _, c := range s.exampleCommands() {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	return nil
}

// exampleCommands returns a GET for the first keyed workload of the first contract
// and a POST for the second.
func (s *System) exampleCommands() []string {
	if len(s.deployment.Contracts) == 0 {
		return nil
	}
	c := s.deployment.Contracts[0]
	head := fmt.Sprintf("curl -sS -H 'Boragelock-Customer: %s' -H 'Authorization: Bearer %s'", c.Customer, exampleToken(c))
	var out []string
	for _, name := range c.Workloads {
		if !s.workload(name).Keyed {
			continue
		}
		url := fmt.Sprintf("http://%s/v1/%s/example-key", s.Hosts[0].CallerAddr(), name)
		if len(out) == 0 {
			out = append(out, fmt.Sprintf("%s %s", head, url))
			continue
		}
		return append(out, fmt.Sprintf("%s -X POST -d 'example body' %s", head, url))
	}
	return out
}

// exampleToken returns the example token of a customer, or a placeholder when the
// contract has a different credential.
func exampleToken(c contract.Contract) string {
	t := examples.TokenPrefix + c.Customer
	sum := sha256.Sum256([]byte(t))
	if slices.Contains(c.CredentialHashes, hex.EncodeToString(sum[:])) {
		return t
	}
	return "TOKEN"
}

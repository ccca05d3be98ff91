package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
)

// fleetCommands are the commands for hosts that run boragelock-gateway.
func fleetCommands() []command {
	return []command{
		{name: "explain", args: "ID", help: "show the log lines about a request, and the event that ended it", define: defineExplain},
		{name: "fleet", help: "show the desired state, the targets and the owners of keys in the store", define: defineFleet},
	}
}

// endEvents maps the log events that end a request to their meaning.
var endEvents = map[string]string{
	"served":      "a target answered",
	"refused":     "the host refused it: it could not have finished in time, or no target was fit",
	"no_owner":    "the host refused it: no target owned its key, or would own it in time",
	"quarantined": "the host refused it: targets ended while they ran the same request",
	"failed":      "the host answered it itself; the code says why",
}

// explanation is the result of explain.
type explanation struct {
	Request string   `json:"request"`
	Lines   []string `json:"lines"`
	// EndEvent is the last event that ended the request.
	EndEvent string `json:"ended"`
	Meaning  string `json:"meaning"`
}

// UnknownRequestError reports that a log has no line about a request.
type UnknownRequestError struct{ ID string }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return "no line about request " + e.ID + "; above its rate limit an event is logged for a part of the requests only"
}

func defineExplain(fs *flag.FlagSet) func(*env, []string) error {
	file := fs.String("log", "", "log file with the lines of all hosts (default: standard input)")
	fs.Bool("json", false, "print JSON")
	return func(e *env, args []string) error {
		in := io.Reader(os.Stdin)
		if *file != "" {
			f, err := os.Open(*file)
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			defer func() { _ = f.Close() }() // opened for reading only
			in = f
		}
		x, err := explain(in, args[0])
		if err != nil {
			return err
		}
		if e.asJSON {
			return e.printJSON(x)
		}
		for _, l := range x.Lines {
			fmt.Fprintln(e.stdout, l)
		}
		fmt.Fprintf(e.stdout, "ended by %s: %s\n", orNone(x.EndEvent), orNone(x.Meaning))
		return nil
	}
}

// explain collects the lines about a request in log order.
func explain(in io.Reader, id string) (*explanation, error) {
	x := &explanation{Request: id}
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for s.Scan() {
		line := s.Text()
		if !slices.Contains(strings.Fields(line), "request="+id) {
			continue
		}
		x.Lines = append(x.Lines, line)
		for event, meaning := range endEvents {
			if strings.Contains(line, " "+event+": ") {
				x.EndEvent, x.Meaning = event, meaning
			}
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	if len(x.Lines) == 0 {
		return nil, &UnknownRequestError{ID: id}
	}
	return x, nil
}

// fleetView is the result of fleet.
type fleetView struct {
	Version               uint64                           `json:"version"`
	EvacuatedDomains      []string                         `json:"evacuated"`
	Targets               []*fleet.Target                  `json:"targets"`
	Owners                map[string]*ownership.RangeTable `json:"owners"`
	Leader                json.RawMessage                  `json:"leader"`
	UnusableAnnouncements []string                         `json:"unusable_announcements"`
	// Customers holds the customers with their limits, without credentials.
	Customers []*fleet.Customer `json:"customers"`
	// InvalidCustomers holds what the desired state has of customers that hosts leave out.
	InvalidCustomers []*fleet.InvalidCustomerError `json:"invalid_customers"`
}

// fleetTimeout limits all calls to the store together.
const fleetTimeout = 10 * time.Second

func defineFleet(fs *flag.FlagSet) func(*env, []string) error {
	store := fs.String("store", "", "address of the store, HOST:PORT")
	fs.Bool("json", false, "print JSON")
	return func(e *env, _ []string) error {
		if *store == "" {
			return &UsageError{Reason: "fleet: -store is missing"}
		}
		ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
		defer cancel()
		v, err := readFleet(ctx, platform.NewStore(*store))
		if err != nil {
			return err
		}
		if e.asJSON {
			return e.printJSON(v)
		}
		printFleet(e.stdout, v)
		return nil
	}
}

func readFleet(ctx context.Context, store *platform.Store) (*fleetView, error) {
	v := &fleetView{Owners: map[string]*ownership.RangeTable{}}
	operatorRecords, err := store.Newest(ctx, platform.TopicOperator)
	if err != nil {
		return nil, err
	}
	targetRecords, err := store.Newest(ctx, platform.TopicTargets)
	if err != nil {
		return nil, err
	}
	controlRecords, err := store.Newest(ctx, platform.TopicControl)
	if err != nil {
		return nil, err
	}
	for _, r := range operatorRecords.Records {
		if domain, evacuated, ok := platform.DecodeEvacuation(r); ok && evacuated {
			v.EvacuatedDomains = append(v.EvacuatedDomains, domain)
		} else if platform.IsDesiredState(r) {
			d, problems, err := platform.DecodeDesiredState(r.Value)
			if err != nil {
				return nil, err
			}
			v.Version = d.Version
			v.InvalidCustomers = problems
			if d.Customers != nil {
				v.Customers = d.Customers.All()
			}
		}
	}
	for _, r := range targetRecords.Records {
		t, err := platform.DecodeTarget(r, 0)
		var malformed *platform.Error
		if errors.As(err, &malformed) {
			v.UnusableAnnouncements = append(v.UnusableAnnouncements, r.Key)
			continue
		}
		v.Targets = append(v.Targets, t)
	}
	for _, r := range controlRecords.Records {
		if workload, ok := strings.CutPrefix(r.Key, "ranges/"); ok {
			if v.Owners[workload], err = ownership.DecodeRangeTable(r.Value); err != nil {
				return nil, err
			}
		} else {
			v.Leader = r.Value
		}
	}
	return v, nil
}

func printFleet(w io.Writer, v *fleetView) {
	fmt.Fprintf(w, "desired state %08x, evacuated: %s\nleader %s\n", v.Version, orNone(strings.Join(v.EvacuatedDomains, " ")), v.Leader)
	slices.SortFunc(v.Targets, func(a, b *fleet.Target) int { return strings.Compare(a.Workload+a.ID, b.Workload+b.ID) })
	for _, t := range v.Targets {
		fmt.Fprintf(w, "target %s workload=%s domain=%s address=%s slots=%d leaving=%t\n", t.ID, t.Workload, t.Domain, t.Address, t.Slots, t.Leaving)
	}
	for _, workload := range slices.Sorted(maps.Keys(v.Owners)) {
		for _, s := range v.Owners[workload].Ranges {
			fmt.Fprintf(w, "keys %s %d-%d owner=%s waits_for=%s\n", workload, s.From, s.To, s.Owner, orNone(strings.Join(s.PreviousOwners, ",")))
		}
	}
	for _, c := range v.Customers {
		limit := "none"
		if c.RatePerSecond > 0 {
			limit = fmt.Sprintf("%g/s burst=%g", c.RatePerSecond, c.Burst)
		}
		fmt.Fprintf(w, "customer %s limit=%s\n", c.Name, limit)
	}
	for _, p := range v.InvalidCustomers {
		fmt.Fprintf(w, "left out: %v\n", p)
	}
	for _, id := range v.UnusableAnnouncements {
		fmt.Fprintf(w, "announcement of %s cannot be used\n", id)
	}
}

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
		{name: "explain", args: "ID", help: "lines of a log about a request, with what ended it", define: defineExplain},
		{name: "fleet", help: "desired state, targets and owners of keys as the store has them", define: defineFleet},
	}
}

// outcomes are the events that end a request, and what each means.
var outcomes = map[string]string{
	"served":   "a target answered",
	"refused":  "the host refused it: it could not have ended in time, or no target was fit",
	"no_owner": "the host refused it: nobody held its key, or would hold it in time",
	"failed":   "the host answered it itself; the code says why",
}

// explanation is the result of explain.
type explanation struct {
	Request string   `json:"request"`
	Lines   []string `json:"lines"`
	// Ended is the last event that ends a request, Meaning what it says.
	Ended   string `json:"ended"`
	Meaning string `json:"meaning"`
}

// UnknownRequestError says that a log has no line about a request.
type UnknownRequestError struct{ ID string }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return "no line about request " + e.ID + "; above the rate of an event only a part of the requests is logged"
}

func defineExplain(fs *flag.FlagSet) func(*env, []string) error {
	file := fs.String("log", "", "log file, with the lines of all hosts; standard input when empty")
	fs.Bool("json", false, "print JSON")
	return func(e *env, args []string) error {
		in := io.Reader(os.Stdin)
		if *file != "" {
			f, err := os.Open(*file)
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			defer func() { _ = f.Close() }() // only read
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
		fmt.Fprintf(e.stdout, "ended by %s: %s\n", orNone(x.Ended), orNone(x.Meaning))
		return nil
	}
}

// explain collects the lines about a request in the order of the log.
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
		for event, meaning := range outcomes {
			if strings.Contains(line, " "+event+": ") {
				x.Ended, x.Meaning = event, meaning
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
	Version   uint64                           `json:"version"`
	Evacuated []string                         `json:"evacuated"`
	Targets   []*fleet.Target                  `json:"targets"`
	Owners    map[string]*ownership.RangeTable `json:"owners"`
	Leader    json.RawMessage                  `json:"leader"`
	Unusable  []string                         `json:"unusable_announcements"`
}

// fleetTimeout bounds the calls to the store.
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
	operator, err := store.Newest(ctx, platform.TopicOperator)
	if err != nil {
		return nil, err
	}
	targets, err := store.Newest(ctx, platform.TopicTargets)
	if err != nil {
		return nil, err
	}
	control, err := store.Newest(ctx, platform.TopicControl)
	if err != nil {
		return nil, err
	}
	for _, r := range operator.Records {
		if domain, evacuated, ok := platform.DecodeEvacuation(r); ok && evacuated {
			v.Evacuated = append(v.Evacuated, domain)
		} else if platform.IsDesiredState(r) {
			d, err := platform.DecodeDesiredState(r.Value)
			if err != nil {
				return nil, err
			}
			v.Version = d.Version
		}
	}
	for _, r := range targets.Records {
		t, err := platform.DecodeTarget(r, 0)
		var malformed *platform.Error
		if errors.As(err, &malformed) {
			v.Unusable = append(v.Unusable, r.Key)
			continue
		}
		v.Targets = append(v.Targets, t)
	}
	for _, r := range control.Records {
		if w, ok := strings.CutPrefix(r.Key, "ranges/"); ok {
			if v.Owners[w], err = ownership.DecodeRangeTable(r.Value); err != nil {
				return nil, err
			}
		} else {
			v.Leader = r.Value
		}
	}
	return v, nil
}

func printFleet(w io.Writer, v *fleetView) {
	fmt.Fprintf(w, "desired state %08x, evacuated: %s\nleader %s\n", v.Version, orNone(strings.Join(v.Evacuated, " ")), v.Leader)
	slices.SortFunc(v.Targets, func(a, b *fleet.Target) int { return strings.Compare(a.Workload+a.ID, b.Workload+b.ID) })
	for _, t := range v.Targets {
		fmt.Fprintf(w, "target %s workload=%s domain=%s address=%s slots=%d leaving=%t\n", t.ID, t.Workload, t.Domain, t.Address, t.Slots, t.Leaving)
	}
	for _, workload := range slices.Sorted(maps.Keys(v.Owners)) {
		for _, s := range v.Owners[workload].Ranges {
			fmt.Fprintf(w, "keys %s %d-%d owner=%s waits_for=%s\n", workload, s.From, s.To, s.Owner, orNone(strings.Join(s.PreviousOwners, ",")))
		}
	}
	for _, id := range v.Unusable {
		fmt.Fprintf(w, "announcement of %s cannot be used\n", id)
	}
}

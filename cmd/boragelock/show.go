package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/internal/settings"
)

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer) *table { return &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)} }

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }

func joinOrNone(names []string) string { return orNone(strings.Join(names, ",")) }

func stateName(s contract.OperatorState) string {
	if s == "" {
		return string(contract.StateIn)
	}
	return string(s)
}

// showCommands returns the commands that show the running system or check files.
func showCommands() []command {
	return []command{
		statusCommand("status", "domains, hosts and targets", func(t *table, s operator.Status) {
			t.row("installation", s.Name, "seen_by", s.Host, "config_version", s.ConfigVersion)
			t.row()
			printDomains(t, s)
			t.row()
			printHosts(t, s)
			t.row()
			printTargets(t, s)
		}),
		{name: "assignments", help: "show which target owns which shards", define: defineAssignments},
		{name: "settings check", args: "FILE", help: "check a settings file of an entry host", define: defineSettingsCheck},
	}
}

func defineAssignments(fs *flag.FlagSet) func(*env, []string) error {
	var c clientFlags
	c.define(fs)
	workload := fs.String("workload", "", "only this workload")
	target := fs.String("target", "", "only shards that this target owns or has to release")
	shards := fs.Bool("shards", false, "one line for each shard instead of each target")
	return func(e *env, _ []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		all, err := client.Assignments(e.ctx, *workload, *target)
		if err != nil {
			return err
		}
		if c.asJSON {
			return e.printJSON(all)
		}
		t := newTable(e.stdout)
		if *shards {
			printShards(t, all)
		} else {
			printOwners(t, all)
		}
		return t.flush()
	}
}

func printShards(t *table, all []operator.Assignment) {
	t.row("workload", "shard", "owner", "epoch", "waiting_for", "hot_key")
	for _, a := range all {
		waiting := ""
		if a.UnreleasedEpoch != 0 {
			waiting = fmt.Sprintf("%s@%d", a.PreviousOwner, a.UnreleasedEpoch)
		}
		t.row(a.Workload, a.Shard, a.Owner, a.Epoch, orNone(waiting), orNone(a.HotKey))
	}
}

func printOwners(t *table, all []operator.Assignment) {
	type key struct{ workload, owner string }
	type count struct{ shards, waiting, hot int }
	counts, order := map[key]*count{}, []key{}
	for _, a := range all {
		k := key{a.Workload, a.Owner}
		if counts[k] == nil {
			counts[k], order = &count{}, append(order, k)
		}
		counts[k].shards++
		if a.UnreleasedEpoch != 0 {
			counts[k].waiting++
		}
		if a.HotKey != "" {
			counts[k].hot++
		}
	}
	t.row("workload", "owner", "shards", "waiting", "hot_keys")
	for _, k := range order {
		t.row(k.workload, k.owner, counts[k].shards, counts[k].waiting, counts[k].hot)
	}
}

func defineSettingsCheck(fs *flag.FlagSet) func(*env, []string) error {
	asJSON := fs.Bool("json", false, "print the settings with their defaults as JSON")
	return func(e *env, names []string) error {
		data, err := os.ReadFile(names[0])
		if err != nil {
			return &UsageError{Reason: err.Error()}
		}
		s, err := settings.Parse(data)
		if err != nil {
			return err
		}
		if *asJSON {
			return e.printJSON(s)
		}
		fmt.Fprintf(e.stdout, "settings of host %s in domain %s are valid\n", s.Name, s.Domain)
		return nil
	}
}

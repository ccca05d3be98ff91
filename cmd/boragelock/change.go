package main

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
)

// waitPoll is the pause between two looks at what is left.
const waitPoll = 500 * time.Millisecond

// WaitError says that work was left when the wait ended.
type WaitError struct {
	Shards, Requests int
	Limit            time.Duration
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("the change is in force, but after %s there are %d shards and %d requests left", e.Limit, e.Shards, e.Requests)
}

// addrs is a flag that may be given several times.
type addrs []string

// String implements flag.Value.
func (a *addrs) String() string { return strings.Join(*a, ",") }

// Set implements flag.Value.
func (a *addrs) Set(s string) error {
	*a = append(*a, strings.Split(s, ",")...)
	return nil
}

// common holds the flags of all commands that talk to an entry host.
type common struct {
	entry addrs
	json  bool
	tls   tlsFiles
}

func (c *common) define(fs *flag.FlagSet) {
	fs.Var(&c.entry, "entry", "operator `ADDR` (IP:port) of an entry host; several are tried in order (default $BORAGELOCK_ENTRY)")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	c.tls.define(fs)
}

func (c *common) client() (*operator.Client, error) {
	list := c.entry
	if value := os.Getenv("BORAGELOCK_ENTRY"); len(list) == 0 && value != "" {
		list = strings.Split(value, ",")
	}
	if len(list) == 0 {
		return nil, &UsageError{Reason: "-entry ADDR or BORAGELOCK_ENTRY is required"}
	}
	config, err := c.tls.config()
	if err != nil {
		return nil, err
	}
	return operator.NewClient(list, config), nil
}

// changeFlags holds the flags of commands that change the configuration.
type changeFlags struct {
	common
	from          int64
	dryRun, force bool
	wait          bool
	waitLimit     time.Duration
	operator      string
}

func (c *changeFlags) define(fs *flag.FlagSet) {
	c.common.define(fs)
	fs.Int64Var(&c.from, "from-version", 0, "configuration `VERSION` that the change is made from (default: the one in force)")
	fs.BoolVar(&c.dryRun, "dry-run", false, "say what would change, and change nothing")
	fs.StringVar(&c.operator, "operator", cmp.Or(os.Getenv("USER"), "unknown"), "`NAME` that the change is recorded under")
}

func (c *changeFlags) defineOut(fs *flag.FlagSet) {
	fs.BoolVar(&c.force, "force", false, "do it even if the remaining targets cannot carry the load")
	fs.BoolVar(&c.wait, "wait", false, "wait until no shard and no request is left, and show how many are")
	fs.DurationVar(&c.waitLimit, "wait-limit", 10*time.Minute, "longest wait")
}

// apply sends a change whose items are made from the configuration in force.
func (c *changeFlags) apply(e *env, items func(*contract.State) ([]contract.Item, error)) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	cfg, err := client.Config(e.ctx)
	if err != nil {
		return err
	}
	list, err := items(cfg)
	if err != nil {
		return err
	}
	answer, err := client.Change(e.ctx, operator.ChangeRequest{
		Change: contract.Change{FromVersion: cmp.Or(c.from, cfg.Version), Operator: c.operator, Items: list},
		DryRun: c.dryRun, Force: c.force,
	})
	if err != nil {
		return c.withBase(e, client, cfg, err)
	}
	return c.print(e, answer)
}

// withBase completes a conflict with what changed since the configuration that
// this command has read.
func (c *changeFlags) withBase(e *env, client *operator.Client, base *contract.State, err error) error {
	var fail *operator.Failure
	if !errors.As(err, &fail) || fail.Code != operator.CodeConflict || fail.Complete || base.Version != fail.FromVersion {
		return err
	}
	if now, cerr := client.Config(e.ctx); cerr == nil && now.Version >= fail.InForce {
		fail.Changes, fail.InForce, fail.Complete = operator.Diff(base, now), now.Version, true
	}
	return fail
}

func (c *changeFlags) print(e *env, a operator.ChangeAnswer) error {
	if c.json {
		return e.printJSON(a)
	}
	if a.DryRun {
		fmt.Fprintf(e.stdout, "would change version %d:\n", a.Version)
	} else {
		fmt.Fprintf(e.stdout, "version %d in force at offset %d:\n", a.Version, a.Offset)
	}
	for _, d := range a.Changes {
		fmt.Fprintln(e.stdout, " ", d)
	}
	return nil
}

// waitUntilLeft shows what is left until nothing is.
func (c *changeFlags) waitUntilLeft(e *env, left func(operator.Status) (shards, requests int)) error {
	if !c.wait || c.dryRun {
		return nil
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	limit := time.After(c.waitLimit)
	shards, requests := 0, 0
	for {
		s, err := client.Status(e.ctx)
		if err == nil {
			shards, requests = left(s)
			fmt.Fprintf(e.stderr, "shards left %d, requests left %d\n", shards, requests)
			if shards == 0 && requests == 0 {
				return nil
			}
		}
		select {
		case <-e.ctx.Done():
			return e.ctx.Err()
		case <-limit:
			if err != nil {
				return err
			}
			return &WaitError{Shards: shards, Requests: requests, Limit: c.waitLimit}
		case <-time.After(waitPoll):
		}
	}
}

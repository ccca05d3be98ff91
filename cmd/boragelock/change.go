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

// waitPollInterval is the interval at which -wait polls the status.
const waitPollInterval = 500 * time.Millisecond

// WaitError reports the work that remained when the wait timed out.
type WaitError struct {
	Shards, Requests int
	Limit            time.Duration
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("the change is in force, but after %s there are %d shards and %d requests left", e.Limit, e.Shards, e.Requests)
}

// addrList is the value of a flag that may be repeated; each value may hold several
// addresses, separated by commas.
type addrList []string

// String implements flag.Value.
func (a *addrList) String() string { return strings.Join(*a, ",") }

// Set implements flag.Value.
func (a *addrList) Set(s string) error {
	*a = append(*a, strings.Split(s, ",")...)
	return nil
}

// clientFlags holds the flags of all commands that call an entry host.
type clientFlags struct {
	entry  addrList
	asJSON bool
	tls    tlsFiles
}

func (c *clientFlags) define(fs *flag.FlagSet) {
	fs.Var(&c.entry, "entry", "operator `ADDR` (IP:port) of an entry host; several are tried in order (default $BORAGELOCK_ENTRY)")
	fs.BoolVar(&c.asJSON, "json", false, "print JSON")
	c.tls.define(fs)
}

func (c *clientFlags) client() (*operator.Client, error) {
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
	clientFlags
	fromVersion   int64
	dryRun, force bool
	wait          bool
	waitTimeout   time.Duration
	operatorName  string
}

func (c *changeFlags) define(fs *flag.FlagSet) {
	c.clientFlags.define(fs)
	fs.Int64Var(&c.fromVersion, "from-version", 0, "configuration `VERSION` that the change is based on (default: the one in force)")
	fs.BoolVar(&c.dryRun, "dry-run", false, "show what would change, without changing anything")
	fs.StringVar(&c.operatorName, "operator", cmp.Or(os.Getenv("USER"), "unknown"), "`NAME` that the change is recorded under")
}

func (c *changeFlags) defineOutFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.force, "force", false, "apply the change even if the remaining targets cannot carry the load")
	fs.BoolVar(&c.wait, "wait", false, "wait until no shard and no request is left, and show how many remain")
	fs.DurationVar(&c.waitTimeout, "wait-limit", 10*time.Minute, "maximum time to wait")
}

// apply sends a change with the items that the function items builds from the
// configuration in force.
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
		Change: contract.Change{FromVersion: cmp.Or(c.fromVersion, cfg.Version), Operator: c.operatorName, Items: list},
		DryRun: c.dryRun, Force: c.force,
	})
	if err != nil {
		return c.completeConflict(e, client, cfg, err)
	}
	return c.print(e, answer)
}

// completeConflict adds to a conflict what changed since base, the configuration
// that this command read. It returns any other error unchanged.
func (c *changeFlags) completeConflict(e *env, client *operator.Client, base *contract.State, err error) error {
	var fail *operator.Failure
	if !errors.As(err, &fail) || fail.Code != operator.CodeConflict || fail.ChangesComplete || base.Version != fail.FromVersion {
		return err
	}
	if current, cerr := client.Config(e.ctx); cerr == nil && current.Version >= fail.CurrentVersion {
		fail.Changes, fail.CurrentVersion, fail.ChangesComplete = operator.Diff(base, current), current.Version, true
	}
	return fail
}

func (c *changeFlags) print(e *env, a operator.ChangeResponse) error {
	if c.asJSON {
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

// waitUntilDrained prints the remaining shards and requests until there are none.
func (c *changeFlags) waitUntilDrained(e *env, remaining func(operator.Status) (shards, requests int)) error {
	if !c.wait || c.dryRun {
		return nil
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	limit := time.After(c.waitTimeout)
	shards, requests := 0, 0
	for {
		s, err := client.Status(e.ctx)
		if err == nil {
			shards, requests = remaining(s)
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
			return &WaitError{Shards: shards, Requests: requests, Limit: c.waitTimeout}
		case <-time.After(waitPollInterval):
		}
	}
}

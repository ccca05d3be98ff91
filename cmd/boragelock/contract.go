package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
)

func contractCommands() []command {
	return []command{
		{name: "contract list", help: "show all contracts", define: defineContractList},
		{name: "contract show", args: "CUSTOMER", help: "show one contract", define: defineContractShow},
		{name: "contract create", args: "CUSTOMER", help: "add a contract", define: defineContractCreate},
		{name: "contract amend", args: "CUSTOMER", help: "change the given fields of a contract, or its credentials", define: defineContractAmend},
		{name: "contract end", args: "CUSTOMER", help: "admit nothing of the customer any more", define: defineContractEnd},
		{name: "contract diff", args: "FILE", help: "show how the contract in a file differs from the one in force", define: defineContractDiff},
		{name: "contract history", args: "CUSTOMER", help: "show the changes of a contract that the log still holds", define: defineContractHistory},
	}
}

func defineContractCreate(fs *flag.FlagSet) func(*env, []string) error {
	return defineContractPut(fs, func(cfg *contract.State, customer string) (contract.Contract, error) {
		if old, ok := cfg.Contracts[customer]; ok && !old.Ended {
			return old, &contract.InvalidError{Field: "contract.customer", Value: customer, Allowed: "a customer without a contract; use contract amend"}
		}
		return contract.Contract{Customer: customer}, nil
	})
}

func defineContractAmend(fs *flag.FlagSet) func(*env, []string) error {
	return defineContractPut(fs, known)
}

// defineContractPut defines a command that starts from a contract, sets what
// was given, and puts the result in force.
func defineContractPut(fs *flag.FlagSet, start func(*contract.State, string) (contract.Contract, error)) func(*env, []string) error {
	var c changeFlags
	var t terms
	c.define(fs)
	t.define(fs)
	fs.BoolVar(&t.dropOld, "drop-old", false, "accept only the newest credential")
	return func(e *env, names []string) error {
		credential, err := t.credential(e.stdin)
		if err != nil {
			return err
		}
		err = c.apply(e, func(cfg *contract.State) ([]contract.Item, error) {
			next, err := start(cfg, names[0])
			if err != nil {
				return nil, err
			}
			if err := t.overlay(&next); err != nil {
				return nil, err
			}
			next.CredentialHashes = rotate(next.CredentialHashes, credential, t.dropOld)
			if err := operator.CheckContract(next); err != nil {
				return nil, err
			}
			return []contract.Item{{Contract: &next}}, nil
		})
		t.announce(e, &c, credential, err)
		return err
	}
}

func known(cfg *contract.State, customer string) (contract.Contract, error) {
	c, ok := cfg.Contracts[customer]
	if !ok {
		return c, &contract.InvalidError{Field: "contract.customer", Value: customer, Allowed: "one of " + list(slices.Sorted(maps.Keys(cfg.Contracts)))}
	}
	return c, nil
}

func defineContractEnd(fs *flag.FlagSet) func(*env, []string) error {
	var c changeFlags
	c.define(fs)
	return func(e *env, names []string) error {
		return c.apply(e, func(cfg *contract.State) ([]contract.Item, error) {
			next, err := known(cfg, names[0])
			if err != nil {
				return nil, err
			}
			next.Ended, next.CredentialHashes = true, nil
			return []contract.Item{{Contract: &next}}, nil
		})
	}
}

// withConfig runs f with the configuration in force.
func withConfig(fs *flag.FlagSet, f func(*env, *common, *contract.State, []string) error) func(*env, []string) error {
	var c common
	c.define(fs)
	return func(e *env, names []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		cfg, err := client.Config(e.ctx)
		if err != nil {
			return err
		}
		return f(e, &c, cfg, names)
	}
}

// shown returns a contract with shortened hashes.
func shown(c contract.Contract) contract.Contract {
	hashes := make([]string, len(c.CredentialHashes))
	for i, h := range c.CredentialHashes {
		hashes[i] = operator.ShortHash(h)
	}
	c.CredentialHashes = hashes
	return c
}

func defineContractList(fs *flag.FlagSet) func(*env, []string) error {
	return withConfig(fs, func(e *env, c *common, cfg *contract.State, _ []string) error {
		names := slices.Sorted(maps.Keys(cfg.Contracts))
		if c.json {
			out := make([]contract.Contract, len(names))
			for i, name := range names {
				out[i] = shown(cfg.Contracts[name])
			}
			return e.printJSON(map[string]any{"version": cfg.Version, "contracts": out})
		}
		t := newTable(e.stdout)
		t.row("customer", "workloads", "rate", "burst", "concurrency", "weight", "credentials", "ended")
		for _, name := range names {
			x := cfg.Contracts[name]
			t.row(name, list(x.Workloads), x.RatePerSecond, x.Burst, x.Concurrency, x.Weight, len(x.CredentialHashes), x.Ended)
		}
		return t.flush()
	})
}

func defineContractShow(fs *flag.FlagSet) func(*env, []string) error {
	return withConfig(fs, func(e *env, _ *common, cfg *contract.State, names []string) error {
		x, err := known(cfg, names[0])
		if err != nil {
			return err
		}
		return e.printJSON(map[string]any{"version": cfg.Version, "contract": shown(x)})
	})
}

func defineContractDiff(fs *flag.FlagSet) func(*env, []string) error {
	return withConfig(fs, func(e *env, c *common, cfg *contract.State, names []string) error {
		read, err := readContract(names[0])
		if err != nil {
			return err
		}
		next := cfg.Clone()
		if len(read.CredentialHashes) == 0 {
			read.CredentialHashes = cfg.Contracts[read.Customer].CredentialHashes
		}
		next.Contracts[read.Customer] = read
		diff := operator.Diff(cfg, next)
		if c.json {
			return e.printJSON(map[string]any{"version": cfg.Version, "changes": diff})
		}
		for _, d := range diff {
			fmt.Fprintln(e.stdout, d)
		}
		return nil
	})
}

func defineContractHistory(fs *flag.FlagSet) func(*env, []string) error {
	var c common
	c.define(fs)
	return func(e *env, names []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		all, err := client.History(e.ctx, names[0])
		if err != nil {
			return err
		}
		if c.json {
			return e.printJSON(all)
		}
		t := newTable(e.stdout)
		t.row("offset", "version", "from_version", "operator", "outcome", "contract")
		for _, r := range all {
			t.row(r.Offset, r.Version, r.Change.FromVersion, r.Change.Operator, r.Outcome, itemText(r.Change, names[0]))
		}
		return t.flush()
	}
}

func itemText(ch contract.Change, customer string) string {
	for _, it := range ch.Items {
		if it.Contract != nil && it.Contract.Customer == customer {
			data, err := json.Marshal(it.Contract)
			if err != nil {
				return err.Error()
			}
			return string(data)
		}
	}
	return ""
}

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
		{name: "contract end", args: "CUSTOMER", help: "admit no more requests of the customer", define: defineContractEnd},
		{name: "contract diff", args: "FILE", help: "show how the contract in a file differs from the one in force", define: defineContractDiff},
		{name: "contract history", args: "CUSTOMER", help: "show the changes of a contract that are still in the log", define: defineContractHistory},
	}
}

func defineContractCreate(fs *flag.FlagSet) func(*env, []string) error {
	return defineContractPut(fs, func(cfg *contract.State, customer string) (contract.Contract, error) {
		if existing, ok := cfg.Contracts[customer]; ok && !existing.Ended {
			return existing, &contract.InvalidError{Field: "contract.customer", Value: customer, Allowed: "a customer without a contract; use contract amend"}
		}
		return contract.Contract{Customer: customer}, nil
	})
}

func defineContractAmend(fs *flag.FlagSet) func(*env, []string) error {
	return defineContractPut(fs, findContract)
}

// defineContractPut defines a command that takes a contract from base, sets the
// given fields, and sends the result as a change.
func defineContractPut(fs *flag.FlagSet, base func(*contract.State, string) (contract.Contract, error)) func(*env, []string) error {
	var c changeFlags
	var t contractFlags
	c.define(fs)
	t.define(fs)
	fs.BoolVar(&t.dropOld, "drop-old", false, "accept only the newest credential")
	return func(e *env, names []string) error {
		credential, err := t.credential(e.stdin)
		if err != nil {
			return err
		}
		err = c.apply(e, func(cfg *contract.State) ([]contract.Item, error) {
			next, err := base(cfg, names[0])
			if err != nil {
				return nil, err
			}
			if err := t.applyTo(&next); err != nil {
				return nil, err
			}
			next.CredentialHashes = rotateCredentials(next.CredentialHashes, credential, t.dropOld)
			if err := operator.CheckContract(next); err != nil {
				return nil, err
			}
			return []contract.Item{{Contract: &next}}, nil
		})
		t.printCredential(e, &c, credential, err)
		return err
	}
}

func findContract(cfg *contract.State, customer string) (contract.Contract, error) {
	c, ok := cfg.Contracts[customer]
	if !ok {
		return c, &contract.InvalidError{Field: "contract.customer", Value: customer, Allowed: "one of " + joinOrNone(slices.Sorted(maps.Keys(cfg.Contracts)))}
	}
	return c, nil
}

func defineContractEnd(fs *flag.FlagSet) func(*env, []string) error {
	var c changeFlags
	c.define(fs)
	return func(e *env, names []string) error {
		return c.apply(e, func(cfg *contract.State) ([]contract.Item, error) {
			next, err := findContract(cfg, names[0])
			if err != nil {
				return nil, err
			}
			next.Ended, next.CredentialHashes = true, nil
			return []contract.Item{{Contract: &next}}, nil
		})
	}
}

// withConfig returns an action that calls f with the configuration in force.
func withConfig(fs *flag.FlagSet, f func(*env, *clientFlags, *contract.State, []string) error) func(*env, []string) error {
	var c clientFlags
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

// withShortHashes returns the contract with shortened credential hashes.
func withShortHashes(c contract.Contract) contract.Contract {
	hashes := make([]string, len(c.CredentialHashes))
	for i, h := range c.CredentialHashes {
		hashes[i] = operator.ShortHash(h)
	}
	c.CredentialHashes = hashes
	return c
}

func defineContractList(fs *flag.FlagSet) func(*env, []string) error {
	return withConfig(fs, func(e *env, c *clientFlags, cfg *contract.State, _ []string) error {
		names := slices.Sorted(maps.Keys(cfg.Contracts))
		if c.asJSON {
			out := make([]contract.Contract, len(names))
			for i, name := range names {
				out[i] = withShortHashes(cfg.Contracts[name])
			}
			return e.printJSON(map[string]any{"version": cfg.Version, "contracts": out})
		}
		t := newTable(e.stdout)
		t.row("customer", "workloads", "rate", "burst", "concurrency", "weight", "credentials", "ended")
		for _, name := range names {
			x := cfg.Contracts[name]
			t.row(name, joinOrNone(x.Workloads), x.RatePerSecond, x.Burst, x.Concurrency, x.Weight, len(x.CredentialHashes), x.Ended)
		}
		return t.flush()
	})
}

func defineContractShow(fs *flag.FlagSet) func(*env, []string) error {
	return withConfig(fs, func(e *env, _ *clientFlags, cfg *contract.State, names []string) error {
		x, err := findContract(cfg, names[0])
		if err != nil {
			return err
		}
		return e.printJSON(map[string]any{"version": cfg.Version, "contract": withShortHashes(x)})
	})
}

func defineContractDiff(fs *flag.FlagSet) func(*env, []string) error {
	return withConfig(fs, func(e *env, c *clientFlags, cfg *contract.State, names []string) error {
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
		if c.asJSON {
			return e.printJSON(map[string]any{"version": cfg.Version, "changes": diff})
		}
		for _, d := range diff {
			fmt.Fprintln(e.stdout, d)
		}
		return nil
	})
}

func defineContractHistory(fs *flag.FlagSet) func(*env, []string) error {
	var c clientFlags
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
		if c.asJSON {
			return e.printJSON(all)
		}
		t := newTable(e.stdout)
		t.row("offset", "version", "from_version", "operator", "outcome", "contract")
		for _, r := range all {
			t.row(r.Offset, r.Version, r.Change.FromVersion, r.Change.Operator, r.Outcome, contractJSON(r.Change, names[0]))
		}
		return t.flush()
	}
}

func contractJSON(ch contract.Change, customer string) string {
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

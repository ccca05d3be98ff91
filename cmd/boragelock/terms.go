package main

import (
	"bufio"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
)

// minCredential is the shortest credential that is taken from an operator, in
// characters. Generated ones have 128 bits.
const minCredential = 16

// terms holds the flags that describe a contract.
type terms struct {
	fs              *flag.FlagSet
	file, workloads string
	rate, burst     float64
	weight          float64
	concurrency     int
	maxBody         int64

	generate, fromStdin, dropOld bool
}

func (t *terms) define(fs *flag.FlagSet) {
	t.fs = fs
	fs.StringVar(&t.file, "file", "", "JSON `FILE` with the contract; other flags override its fields")
	fs.StringVar(&t.workloads, "workloads", "", "`NAMES` of the workloads, separated by commas")
	fs.Float64Var(&t.rate, "rate", 0, "requests per second over all entry hosts")
	fs.Float64Var(&t.burst, "burst", 0, "requests above the rate that may arrive at once")
	fs.IntVar(&t.concurrency, "concurrency", 0, "requests in flight over all entry hosts")
	fs.Float64Var(&t.weight, "weight", 1, "share under contention, relative to other customers")
	fs.Int64Var(&t.maxBody, "max-body-bytes", 0, "largest request body; 0 means the limit of the workload")
	fs.BoolVar(&t.generate, "generate", false, "generate a credential and print it once")
	fs.BoolVar(&t.fromStdin, "credential-stdin", false, "read a credential from standard input")
}

// overlay sets the fields of c that were given by file or flag.
func (t *terms) overlay(c *contract.Contract) error {
	if t.file != "" {
		read, err := readContract(t.file)
		if err != nil {
			return err
		}
		if read.Customer != c.Customer {
			return &contract.InvalidError{Field: "contract.customer", Value: read.Customer, Allowed: "the customer of the command, " + c.Customer}
		}
		if len(read.CredentialHashes) == 0 {
			read.CredentialHashes = c.CredentialHashes
		}
		*c = read
	}
	if c.Weight == 0 {
		c.Weight = t.weight
	}
	t.fs.Visit(func(f *flag.Flag) {
		switch f.Name {
		case "workloads":
			c.Workloads = strings.Split(t.workloads, ",")
		case "rate":
			c.RatePerSecond = t.rate
		case "burst":
			c.Burst = t.burst
		case "concurrency":
			c.Concurrency = t.concurrency
		case "weight":
			c.Weight = t.weight
		case "max-body-bytes":
			c.MaxBodyBytes = t.maxBody
		}
	})
	return nil
}

func readContract(file string) (contract.Contract, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return contract.Contract{}, &UsageError{Reason: err.Error()}
	}
	return operator.ParseContract(data)
}

// credential returns a new credential, or an empty one when none was asked
// for.
func (t *terms) credential(stdin io.Reader) (string, error) {
	switch {
	case t.generate && t.fromStdin:
		return "", &UsageError{Reason: "-generate and -credential-stdin exclude each other"}
	case t.generate:
		return rand.Text(), nil
	case !t.fromStdin:
		return "", nil
	}
	line, err := bufio.NewReader(stdin).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", &UsageError{Reason: "the credential cannot be read from standard input"}
	}
	line = strings.TrimRight(line, "\r\n")
	if len(line) < minCredential || strings.ContainsAny(line, " \t") {
		return "", &contract.InvalidError{Field: "credential", Value: "(hidden)", Allowed: fmt.Sprintf("%d characters or more, no spaces", minCredential)}
	}
	return line, nil
}

// announce prints a generated credential, the only time it is shown: when the
// change is in force, or may be.
func (t *terms) announce(e *env, c *changeFlags, credential string, err error) {
	var fail *operator.Failure
	unknown := errors.As(err, &fail) && fail.Code == operator.CodeUnknownOutcome
	if !t.generate || c.dryRun || (err != nil && !unknown) {
		return
	}
	if c.json {
		_ = e.printJSON(map[string]string{"credential": credential})
		return
	}
	fmt.Fprintln(e.stdout, "credential (shown only now):", credential)
}

func hash(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// rotate adds a credential after the one in use, so that both are accepted,
// and keeps at most two; dropOld keeps only the newest.
func rotate(hashes []string, credential string, dropOld bool) []string {
	out := slices.Clone(hashes)
	if credential != "" {
		out = append(out, hash(credential))
	}
	keep := contract.MaxCredentials
	if dropOld {
		keep = 1
	}
	return out[max(0, len(out)-keep):]
}

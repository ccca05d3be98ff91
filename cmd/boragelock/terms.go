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

// minCredentialLength is the minimum length in bytes of a credential that an
// operator supplies. Generated credentials have 128 bits.
const minCredentialLength = 16

// contractFlags holds the flags that describe a contract.
type contractFlags struct {
	fs              *flag.FlagSet
	file, workloads string
	rate, burst     float64
	weight          float64
	concurrency     int
	maxBody         int64

	generate, fromStdin, dropOld bool
}

func (t *contractFlags) define(fs *flag.FlagSet) {
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

// applyTo sets the fields of c that a file or flags give.
func (t *contractFlags) applyTo(c *contract.Contract) error {
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

// credential returns a generated or supplied credential, or an empty string when
// neither flag is set.
func (t *contractFlags) credential(stdin io.Reader) (string, error) {
	switch {
	case t.generate && t.fromStdin:
		return "", &UsageError{Reason: "-generate and -credential-stdin are mutually exclusive"}
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
	if len(line) < minCredentialLength || strings.ContainsAny(line, " \t") {
		return "", &contract.InvalidError{Field: "credential", Value: "(hidden)", Allowed: fmt.Sprintf("%d characters or more, no spaces", minCredentialLength)}
	}
	return line, nil
}

// printCredential prints a generated credential when the change is in force or may
// still come into force. The credential is not shown again.
func (t *contractFlags) printCredential(e *env, c *changeFlags, credential string, err error) {
	var fail *operator.Failure
	unknown := errors.As(err, &fail) && fail.Code == operator.CodeUnknownOutcome
	if !t.generate || c.dryRun || (err != nil && !unknown) {
		return
	}
	if c.asJSON {
		_ = e.printJSON(map[string]string{"credential": credential})
		return
	}
	fmt.Fprintln(e.stdout, "credential (shown only now):", credential)
}

func hashCredential(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// rotateCredentials appends the hash of a new credential, so that the previous one
// stays valid, and keeps at most two; dropOld keeps only the newest.
func rotateCredentials(hashes []string, credential string, dropOld bool) []string {
	out := slices.Clone(hashes)
	if credential != "" {
		out = append(out, hashCredential(credential))
	}
	keep := contract.MaxCredentials
	if dropOld {
		keep = 1
	}
	return out[max(0, len(out)-keep):]
}

// Command boragelock is the command-line tool for operators. It calls the operator
// address of an entry host; see boragelock -h for the subcommands, and -h after
// each for its flags. Exit codes: 0 success, 1 failure, 2 usage or invalid input,
// 3 conflict with another change, 4 outcome unknown: the change may still come
// into force.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/internal/settings"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitConflict
	exitOutcomeUnknown
)

// UsageError reports an invalid command line.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// env holds the context and the streams of a subcommand.
type env struct {
	ctx            context.Context
	stdin          io.Reader
	stdout, stderr io.Writer
	// asJSON reports that -json was given, even if the command line is invalid.
	asJSON bool
}

// command is one subcommand. define adds its flags and returns the function that
// runs it with the positional arguments.
type command struct {
	name, args, help string
	define           func(*flag.FlagSet) func(*env, []string) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(&env{ctx: ctx, stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}

func commands() []command {
	return slices.Concat(contractCommands(), stateCommands(), showCommands(), fleetCommands())
}

// run executes one command line and returns the exit code.
func run(e *env, args []string) int {
	if len(args) == 0 {
		usage(e.stderr)
		return exitUsage
	}
	if slices.Contains([]string{"-h", "-help", "--help", "help"}, args[0]) {
		usage(e.stdout)
		return exitOK
	}
	e.asJSON = slices.Contains(args, "-json") || slices.Contains(args, "--json")
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && slices.Equal(args[:len(words)], words) {
			return e.report(e.runCommand(c, args[len(words):]))
		}
	}
	return e.report(&UsageError{Reason: fmt.Sprintf("unknown command %q; see boragelock -h", strings.Join(args[:min(2, len(args))], " "))})
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: boragelock COMMAND [flags]")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-17s %-9s %s\n", c.name, c.args, c.help)
	}
	fmt.Fprintln(w, "exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict, 4 outcome unknown")
}

func (e *env) runCommand(c command, args []string) error {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(e.stderr)
	fs.Usage = func() {
		fmt.Fprintf(e.stderr, "usage: boragelock %s %s [flags]\n%s\n", c.name, c.args, c.help)
		fs.PrintDefaults()
	}
	action := c.define(fs)
	names, err := parseInterspersed(fs, args)
	if err != nil {
		return err
	}
	if want := len(strings.Fields(c.args)); len(names) != want {
		return &UsageError{Reason: fmt.Sprintf("%s: %d arguments given, %d expected: %s", c.name, len(names), want, orNone(c.args))}
	}
	return action(e, names)
}

// parseInterspersed parses flags before, between and after the positional
// arguments, and returns the latter.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var names []string
	for {
		if err := fs.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, &UsageError{Reason: err.Error()}
		}
		if fs.NArg() == 0 {
			return names, nil
		}
		names, args = append(names, fs.Arg(0)), fs.Args()[1:]
	}
}

// report prints an error and returns the exit code.
func (e *env) report(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(e.stderr, "boragelock:", err)
	var fail *operator.Failure
	if errors.As(err, &fail) {
		if e.asJSON {
			_ = e.printJSON(map[string]*operator.Failure{"error": fail})
		} else if fail.Code == operator.CodeConflict {
			e.printConflict(fail)
		}
		return failureCode(fail.Code)
	}
	if errors.As(err, new(*UsageError)) || errors.As(err, new(*contract.InvalidError)) || errors.As(err, new(*settings.InvalidError)) {
		return exitUsage
	}
	return exitFailed
}

func failureCode(c operator.Code) int {
	switch c {
	case operator.CodeInvalid:
		return exitUsage
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeUnknownOutcome:
		return exitOutcomeUnknown
	}
	return exitFailed
}

func (e *env) printConflict(f *operator.Failure) {
	fmt.Fprintf(e.stderr, "version %d is in force; changed since version %d:\n", f.CurrentVersion, f.FromVersion)
	for _, d := range f.Changes {
		fmt.Fprintln(e.stderr, " ", d)
	}
	if !f.ChangesComplete {
		fmt.Fprintln(e.stderr, "  (this entry host does not know all changes; see boragelock contract history)")
	}
}

func (e *env) printJSON(v any) error {
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

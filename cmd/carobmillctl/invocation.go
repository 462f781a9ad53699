package main

import (
	"encoding/json"

	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Values of -o.
const (
	outputText = "text"
	outputJSON = "json"
)

// invocation is one run of a command, with its flags, arguments and output streams.
type invocation struct {
	cmd    command
	flags  *flag.FlagSet
	output *string
	// args holds the positional arguments. parse sets it.
	args   []string
	raw    []string
	stdout io.Writer
	stderr io.Writer
}

func newInvocation(cmd command, args []string, stdout, stderr io.Writer) *invocation {
	inv := &invocation{
		cmd:    cmd,
		flags:  flag.NewFlagSet(cmd.name, flag.ContinueOnError),
		raw:    args,
		stdout: stdout,
		stderr: stderr,
	}
	inv.flags.SetOutput(io.Discard)
	inv.output = inv.flags.String("o", outputText, "output: text or json")
	return inv
}

// parse parses flags and positional arguments in any order. names are the names of the
// required positional arguments. If ok is false, the command exits with code.
func (inv *invocation) parse(names ...string) (code int, ok bool) {
	remaining := inv.raw
	for {
		if err := inv.flags.Parse(remaining); errors.Is(err, flag.ErrHelp) {
			inv.help()
			return exitOK, false
		} else if err != nil {
			return inv.usageError("%v", err), false
		}
		remaining = inv.flags.Args()
		if len(remaining) == 0 {
			break
		}
		inv.args = append(inv.args, remaining[0])
		remaining = remaining[1:]
	}
	if *inv.output != outputText && *inv.output != outputJSON {
		return inv.usageError("flag -o: %q is not allowed, must be text or json", *inv.output), false
	}
	if len(inv.args) < len(names) {
		return inv.usageError("argument %s is missing", names[len(inv.args)]), false
	}
	if len(inv.args) > len(names) {
		return inv.usageError("unexpected argument %q", inv.args[len(names)]), false
	}
	return exitOK, true
}

// usageError prints an error and the usage of the command.
func (inv *invocation) usageError(format string, args ...any) int {
	_, _ = fmt.Fprintf(inv.stderr, "carobmillctl %s: %s\nusage: carobmillctl %s %s\n",
		inv.cmd.name, fmt.Sprintf(format, args...), inv.cmd.name, inv.cmd.synopsis)
	return exitUsage
}

func (inv *invocation) help() {
	_, _ = fmt.Fprintf(inv.stdout, "usage: carobmillctl %s %s\n\n%s\n\n", inv.cmd.name, inv.cmd.synopsis, inv.cmd.summary)
	inv.flags.SetOutput(inv.stdout)
	inv.flags.PrintDefaults()
}

func (inv *invocation) json() bool {
	return *inv.output == outputJSON
}

func (inv *invocation) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(inv.stdout, format, args...)
}

func (inv *invocation) writeJSON(document any) {
	enc := json.NewEncoder(inv.stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(document)
}

// failed prints an error that is not caused by the usage or the input.
func (inv *invocation) failed(err error) int {
	_, _ = fmt.Fprintf(inv.stderr, "carobmillctl %s: %v\n", inv.cmd.name, err)
	return exitFailed
}

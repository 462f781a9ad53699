// Command carobmillctl is the command-line tool for operators and planners.
//
// Exit codes: 0 success; 1 failure; 2 invalid usage or input; 3 refused, or another
// operator published first; 4 not in force on every node within the time limit.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	// exitRefused means that the sheet may not replace the accepted one, or that another
	// operator's version is accepted.
	exitRefused    = 3
	exitNotInForce = 4
)

// command describes a command of the tool.
type command struct {
	// name has one or two words.
	name string
	// synopsis lists the arguments and flags.
	synopsis string
	// summary is shown in the list of commands and in the help of the command.
	summary string
	run     func(ctx context.Context, inv *invocation) int
}

var commands = []command{
	sheetCheckCommand,
	sheetPublishCommand,
	sheetShowCommand,
	statusCommand,
	loadCommand,
	queryCommand,
	explainCommand,
	demoCommand,
	standinsCommand,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	for _, cmd := range commands {
		words := strings.Fields(cmd.name)
		if hasPrefix(args, words) {
			return cmd.run(ctx, newInvocation(cmd, args[len(words):], stdout, stderr))
		}
	}
	if len(args) > 0 && (args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help") {
		printCommands(stdout)
		return exitOK
	}
	if len(args) > 0 {
		_, _ = fmt.Fprintf(stderr, "carobmillctl: unknown command %q\n", strings.Join(args, " "))
	}
	printCommands(stderr)
	return exitUsage
}

func hasPrefix(args, words []string) bool {
	if len(args) < len(words) {
		return false
	}
	for i, word := range words {
		if args[i] != word {
			return false
		}
	}
	return true
}

func printCommands(w io.Writer) {
	_, _ = fmt.Fprintln(w, "usage:")
	for _, cmd := range commands {
		_, _ = fmt.Fprintf(w, "  carobmillctl %s %s\n        %s\n", cmd.name, cmd.synopsis, cmd.summary)
	}
}

// Package command is the command line of a node:
//
//	carobmill run -settings FILE
//	carobmill check-settings FILE
//	carobmill version
//
// Exit codes: 0 success, 1 failure while running, 2 invalid settings or usage.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/gateway"
	"github.com/carobmill/carobmill/node/intake"
	"github.com/carobmill/carobmill/node/node"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/node/settings"
	"github.com/carobmill/carobmill/node/telemetry"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

const usage = `usage:
  carobmill run -settings FILE
  carobmill check-settings FILE
  carobmill version
`

// AdapterFactory returns the platform adapter of a forwarding node. It is nil in a
// binary without a platform adapter.
type AdapterFactory func(*pb.Settings) gateway.Adapter

// Main runs the command line of this process until it receives SIGTERM or SIGINT, and
// returns the exit code.
func Main(newAdapter AdapterFactory) int {
	ctx, reloads := notifySignals()
	return run(ctx, reloads, os.Args[1:], os.Stdout, os.Stderr, newAdapter)
}

// Run runs a command line until ctx ends and returns its exit code. It handles no signals.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, newAdapter AdapterFactory) int {
	return run(ctx, nil, args, stdout, stderr, newAdapter)
}

// run is Run with the channel of reloads, which is nil for none.
func run(ctx context.Context, reloads <-chan os.Signal, args []string, stdout, stderr io.Writer, newAdapter AdapterFactory) int {
	if len(args) == 0 {
		_, _ = io.WriteString(stderr, usage)
		return ExitUsage
	}
	switch args[0] {
	case "run":
		return runNode(ctx, reloads, args[1:], stdout, stderr, newAdapter)
	case "check-settings":
		return checkSettings(args[1:], stdout, stderr)
	case "version":
		_, _ = fmt.Fprintln(stdout, version())
		return ExitOK
	default:
		_, _ = fmt.Fprintf(stderr, "unknown command %q\n%s", args[0], usage)
		return ExitUsage
	}
}

func runNode(ctx context.Context, reloads <-chan os.Signal, args []string, stdout, stderr io.Writer, newAdapter AdapterFactory) int {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "the node's settings, a YAML `FILE`")
	if flags.Parse(args) != nil {
		return ExitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "-settings FILE is required; run takes no other arguments\n%s", usage)
		return ExitUsage
	}
	s, ok := load(*file, stderr)
	if !ok {
		return ExitUsage
	}
	log, err := telemetry.NewLog(s.GetLog().GetLevel(), s.GetLog().GetFormat())
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	output := telemetry.NewQueuedWriter(stdout)
	defer output.Close()
	log.SetOutput(output)
	// Libraries log each broken connection to the standard logger. Its lines are written
	// at debug level, because faulty replicas would otherwise flood the log.
	library := log.WriterLevel(logrus.DebugLevel)
	defer func() { _ = library.Close() }()
	stdlog.SetFlags(0)
	stdlog.SetOutput(library)
	if reloads != nil {
		go logReloads(reloads, log)
	}
	intake.LimitHeap(intake.MachineOf(s.GetLimits()))
	n, err := newNode(s, log, newAdapter)
	if err != nil {
		log.WithError(err).Error("node failed to start")
		return ExitFailed
	}
	if err := n.Run(ctx); err != nil {
		log.WithError(err).Error("node failed")
		return ExitFailed
	}
	return ExitOK
}

// runner is an ordinary or a forwarding node.
type runner interface {
	Run(ctx context.Context) error
}

// newNode returns a forwarding node if the settings enable forwarding, or else an
// ordinary node.
func newNode(s *pb.Settings, log logrus.FieldLogger, newAdapter AdapterFactory) (runner, error) {
	if s.GetForwarding() == nil {
		return node.New(s, log, nil)
	}
	if newAdapter == nil {
		return nil, errors.New("settings enable forwarding, but this binary has no platform adapter")
	}
	return gateway.New(s, log, newAdapter(s))
}

func checkSettings(args []string, stdout, stderr io.Writer) int {
	if len(args) != 1 {
		_, _ = fmt.Fprintf(stderr, "check-settings requires exactly one FILE\n%s", usage)
		return ExitUsage
	}
	if _, ok := load(args[0], stderr); !ok {
		return ExitUsage
	}
	_, _ = fmt.Fprintf(stdout, "%s: ok\n", args[0])
	return ExitOK
}

// load reads the settings and prints all errors found in them.
func load(file string, stderr io.Writer) (*pb.Settings, bool) {
	s, faults := settings.Load(file)
	if len(faults) > 0 {
		_, _ = io.WriteString(stderr, schema.FormatFaults(faults))
		return nil, false
	}
	return s, true
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "carobmill (unknown build)"
	}
	return fmt.Sprintf("carobmill %s %s", info.Main.Version, info.GoVersion)
}

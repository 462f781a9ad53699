// Package command is the command line of a node:
//
//	carobmill run -settings FILE
//	carobmill check-settings FILE
//	carobmill version
//
// Exit codes: 0 success, 1 failure while running, 2 faulty settings or usage.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/gateway"
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

// AdapterFactory makes the adapter of a forwarding node; nil where the binary has none.
type AdapterFactory func(*pb.Settings) gateway.Adapter

// Main runs the command line of this process until it is told to end, and returns the
// exit code.
func Main(adapters AdapterFactory) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr, adapters)
}

// Run runs a command line until ctx ends and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, adapters AdapterFactory) int {
	if len(args) == 0 {
		_, _ = io.WriteString(stderr, usage)
		return ExitUsage
	}
	switch args[0] {
	case "run":
		return runNode(ctx, args[1:], stdout, stderr, adapters)
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

func runNode(ctx context.Context, args []string, stdout, stderr io.Writer, adapters AdapterFactory) int {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "the node's settings, a YAML `FILE`")
	if flags.Parse(args) != nil {
		return ExitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "-settings FILE is required, and nothing else\n%s", usage)
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
	lines := telemetry.NewQueuedWriter(stdout)
	defer lines.Close()
	log.SetOutput(lines)
	// Libraries write of connections that were given up, as often as replicas spoil
	// answers; the node's own log tells of those requests.
	library := log.WriterLevel(logrus.DebugLevel)
	defer func() { _ = library.Close() }()
	stdlog.SetFlags(0)
	stdlog.SetOutput(library)
	watchReload(ctx, log)
	n, err := newNode(s, log, adapters)
	if err != nil {
		log.WithError(err).Error("the node cannot start")
		return ExitFailed
	}
	if err := n.Run(ctx); err != nil {
		log.WithError(err).Error("the node has failed")
		return ExitFailed
	}
	return ExitOK
}

// runner is a node of either kind.
type runner interface {
	Run(ctx context.Context) error
}

// newNode builds the kind of node that the settings ask for.
func newNode(s *pb.Settings, log logrus.FieldLogger, adapters AdapterFactory) (runner, error) {
	if s.GetForwarding() == nil {
		return node.New(s, log, nil)
	}
	if adapters == nil {
		return nil, errors.New("settings ask for forwarding, but this binary has no adapter of a platform")
	}
	return gateway.New(s, log, adapters(s))
}

// watchReload notes requests to read the settings again. They take effect at the next
// start: what changes while a node runs comes from the operators' configuration.
func watchReload(ctx context.Context, log logrus.FieldLogger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				log.Info("reload: settings take effect at the next start")
			}
		}
	}()
}

func checkSettings(args []string, stdout, stderr io.Writer) int {
	if len(args) != 1 {
		_, _ = fmt.Fprintf(stderr, "check-settings takes one file\n%s", usage)
		return ExitUsage
	}
	if _, ok := load(args[0], stderr); !ok {
		return ExitUsage
	}
	_, _ = fmt.Fprintf(stdout, "%s: ok\n", args[0])
	return ExitOK
}

// load reads settings and prints all their faults.
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

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/term"

	"github.com/carobmill/carobmill/cmd/load"
)

// Defaults of the load command.
const (
	defaultLoadRate     = 50
	defaultLoadDuration = 10 * time.Second
	defaultLoadDeadline = 240 * time.Millisecond
	defaultLoadInFlight = 2_000
)

// clearLine is the terminal escape sequence that clears the current line and returns the
// cursor to its start.
const clearLine = "\r\x1b[K"

var loadCommand = command{
	name: "load",
	synopsis: "-addr ADDR[,ADDR...] -mix SERVICE/CLASS[=SHARE][,...] [-rate N] [-duration D] [-deadline D] " +
		"[-seed N] [-in-flight N] [-plot FILE.png] [-report FILE.json] [-o text|json]",
	summary: "Send an open-loop load of queries and report latency, coverage and outcomes by class.",
	run:     runLoad,
}

// loadOutputPaths holds the paths of the output files. A file with an empty path is not
// written.
type loadOutputPaths struct {
	plot, report string
}

func runLoad(ctx context.Context, inv *invocation) int {
	var files loadOutputPaths
	addresses := inv.flags.String("addr", "", "caller addresses (`ADDR`, IP address and port) of nodes, used in round-robin order (required)")
	mix := inv.flags.String("mix", "", "`targets` SERVICE/CLASS[=SHARE], separated by commas (required)")
	rate := inv.flags.Float64("rate", defaultLoadRate, "mean `requests` per second, Poisson arrivals")
	duration := inv.flags.Duration("duration", defaultLoadDuration, "time during which requests are sent")
	deadline := inv.flags.Duration("deadline", defaultLoadDeadline, "deadline of each request")
	seed := inv.flags.Uint64("seed", 1, "seed of the arrivals")
	inFlight := inv.flags.Int("in-flight", defaultLoadInFlight, "maximum number of `requests` in flight; excess requests are not sent")
	inv.flags.StringVar(&files.plot, "plot", "", "write a plot to this PNG `file`")
	inv.flags.StringVar(&files.report, "report", "", "write the report to this JSON `file`")
	if code, ok := inv.parse(); !ok {
		return code
	}
	config := load.Config{
		Rate:     *rate,
		Duration: *duration,
		Deadline: *deadline,
		Seed:     *seed,
		InFlight: *inFlight,
	}
	if *addresses != "" {
		config.Addresses = strings.Split(*addresses, ",")
	}
	if *mix == "" {
		return inv.usageError("flag -mix is required")
	}
	targets, err := load.ParseMix(*mix)
	if err != nil {
		return inv.usageError("%v", err)
	}
	config.Targets = targets
	if err := config.Check(); err != nil {
		return inv.usageError("%v", err)
	}
	progress := inv.progressPrinter()
	report, err := load.Run(ctx, config, progress)
	if progress != nil {
		_, _ = fmt.Fprint(inv.stderr, clearLine)
	}
	if err != nil {
		return inv.failed(err)
	}
	return inv.loadReport(report, files)
}

// progressPrinter returns a function that shows the progress of the run, or nil if standard
// error is not a terminal.
func (inv *invocation) progressPrinter() func(load.Progress) {
	file, ok := inv.stderr.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return nil
	}
	return func(p load.Progress) {
		_, _ = fmt.Fprintf(file, "%s%s", clearLine, p)
	}
}

func (inv *invocation) loadReport(report *load.Report, files loadOutputPaths) int {
	if inv.json() {
		inv.writeJSON(report)
	} else {
		report.Write(inv.stdout)
	}
	if err := files.write(report); err != nil {
		return inv.failed(err)
	}
	if report.Answered() == 0 {
		return inv.failed(errors.New("no request was answered"))
	}
	return exitOK
}

func (f loadOutputPaths) write(report *load.Report) error {
	if f.report != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode report")
		}
		if err := os.WriteFile(f.report, append(data, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	if f.plot == "" {
		return nil
	}
	file, err := os.Create(f.plot)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	if err := report.Plot(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write plot")
}

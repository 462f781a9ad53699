package main

import (
	"context"
	"io"

	"github.com/carobmill/carobmill/cmd/demo"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/node/telemetry"
)

// defaultSheet is relative to the root of a checkout.
const defaultSheet = "examples/kenya.yaml"

var demoCommand = command{
	name:     "demo",
	synopsis: "[-sheet FILE] [-once] [-o text|json]",
	summary:  "Run a complete deployment with stand-ins in this process, query every service, and serve until interrupted.",
	run:      runDemo,
}

func runDemo(ctx context.Context, inv *invocation) int {
	file := inv.flags.String("sheet", defaultSheet, "the sheet to run, a YAML `FILE`")
	once := inv.flags.Bool("once", false, "exit after the queries")
	verbose := inv.flags.Bool("v", false, "show the nodes' logs")
	if code, ok := inv.parse(); !ok {
		return code
	}
	s, faults := sheetfile.Load(*file)
	if len(faults) > 0 {
		_, _ = io.WriteString(inv.stderr, schema.FormatFaults(faults))
		return exitUsage
	}
	level := "error"
	if *verbose {
		level = "info"
	}
	log, err := telemetry.NewLog(level, telemetry.FormatText)
	if err != nil {
		return inv.failed(err)
	}
	err = demo.Run(ctx, demo.Options{Sheet: s, Once: *once, JSON: inv.json(), Out: inv.stdout, Log: log})
	if err != nil {
		return inv.failed(err)
	}
	return exitOK
}

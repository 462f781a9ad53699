package main

import (
	"context"
	"io"

	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/node/sheetfile"
)

var standinsCommand = command{
	name:     "standins",
	synopsis: "-sheet FILE -platform ADDR",
	summary:  "Run stand-ins for the platform and the sheet's backend servers until interrupted, for nodes that run as processes.",
	run:      runStandins,
}

func runStandins(ctx context.Context, inv *invocation) int {
	file := inv.flags.String("sheet", defaultSheet, "the sheet, a YAML `FILE`; the backend servers listen on its addresses")
	platform := inv.flags.String("platform", "127.0.0.1:2379", "address (`ADDR`, IP address and port) of the platform's stand-in")
	if code, ok := inv.parse(); !ok {
		return code
	}
	s, faults := sheetfile.Load(*file)
	if len(faults) > 0 {
		_, _ = io.WriteString(inv.stderr, schema.FormatFaults(faults))
		return exitUsage
	}
	d, err := deployment.StartStandins(deployment.Options{
		Sheet:           s,
		KeepAddresses:   true,
		PlatformAddress: *platform,
	})
	if err != nil {
		return inv.failed(err)
	}
	defer d.Close()
	inv.printf("platform at %s, %d backend servers; press Ctrl-C to stop\n", d.PlatformURL, len(d.Backends))
	<-ctx.Done()
	return exitOK
}

// Command harness runs the cases of the second review: nodes as separate processes, with
// stand-ins for the platform's store, replicas and clients on loopback addresses.
package main

import (
	_ "embed"
	"strings"
)

//go:embed wire.txt
var wireText string

// wire maps short names to the platform's names.
var wire = parseWire()

func parseWire() map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(wireText) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] != "#" {
			names[fields[0]] = fields[1]
		}
	}
	return names
}

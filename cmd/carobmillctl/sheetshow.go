package main

import (
	"context"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/carobmill/carobmill/node/publish"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/policy/configstate"
)

var sheetShowCommand = command{
	name:     "sheet show",
	synopsis: "-platform URL -fleet NAME [-o text|json]",
	summary:  "Print the accepted sheet as YAML, ready to be edited and published.",
	run:      runSheetShow,
}

func runSheetShow(ctx context.Context, inv *invocation) int {
	base := inv.flags.String("platform", "", "base `URL` of the platform's service (required)")
	fleet := inv.flags.String("fleet", "", "`NAME` of the fleet (required)")
	if code, ok := inv.parse(); !ok {
		return code
	}
	if !isURL(*base) {
		return inv.usageError("flag -platform: %q is not a URL such as http://10.1.2.3:2379", *base)
	}
	if *fleet == "" {
		return inv.usageError("flag -fleet is required")
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	accepted, err := publish.Accepted(ctx, newPlatform(*base), configstate.Key(*fleet))
	if err != nil {
		return inv.failed(err)
	}
	if accepted == nil {
		return inv.usageError("flag -fleet: no sheet is accepted for %q", *fleet)
	}
	if inv.json() {
		body, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(accepted)
		if err != nil {
			return inv.failed(err)
		}
		inv.printf("%s\n", body)
		return exitOK
	}
	text, err := schema.Encode(accepted.GetSheet())
	if err != nil {
		return inv.failed(err)
	}
	inv.printf("# fleet %s, version %d, published by %s, publish id %s\n%s", *fleet, accepted.GetVersion(),
		accepted.GetPublishedBy(), accepted.GetPublishId(), text)
	return exitOK
}

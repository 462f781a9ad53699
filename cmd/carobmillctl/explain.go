package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/ring"
)

const explainTimeout = 10 * time.Second

var explainCommand = command{
	name:     "explain",
	synopsis: "-node ADDR [-subject NAME] [-o text|json] | -request ID -logs FILE[,FILE...] [-o text|json]",
	summary: "Show a node's latest decisions, oldest first: replicas that became cold, versions applied, requests refused.\n" +
		"Or show the log lines of a request, and those of the same nodes shortly before and after.",
	run: runExplain,
}

func runExplain(ctx context.Context, inv *invocation) int {
	node := inv.flags.String("node", "", "admin address (`ADDR`, IP address and port) of a node (required)")
	subject := inv.flags.String("subject", "", "only decisions about this replica, member, version or service (`NAME`)")
	request := inv.flags.String("request", "", "`ID` of the request to find in -logs")
	logs := inv.flags.String("logs", "", "log `FILE`s of nodes, separated by commas; - means standard input")
	if code, ok := inv.parse(); !ok {
		return code
	}
	if *request != "" || *logs != "" {
		if *request == "" || *logs == "" {
			return inv.usageError("flags -request and -logs must be set together")
		}
		return explainRequest(inv, *request, *logs)
	}
	if _, err := netip.ParseAddrPort(*node); err != nil {
		return inv.usageError("flag -node: %q is not an IP address and port", *node)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	decisions, err := fetchDecisions(ctx, *node, *subject)
	if err != nil {
		return inv.failed(err)
	}
	if inv.json() {
		inv.writeJSON(decisions)
		return exitOK
	}
	for _, d := range decisions {
		inv.printf("%s  %-18s %s  %s\n", d.Time.Format(time.RFC3339), d.Kind, d.Subject, d.Detail)
	}
	return exitOK
}

func fetchDecisions(ctx context.Context, node, subject string) ([]ring.Decision, error) {
	address := "http://" + node + "/decisions?subject=" + url.QueryEscape(subject)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create decisions request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch decisions")
	}
	defer func() { _ = resp.Body.Close() }()
	var decisions []ring.Decision
	err = json.NewDecoder(resp.Body).Decode(&decisions)
	return decisions, errors.Wrap(err, "decode decisions")
}

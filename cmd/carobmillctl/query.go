package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/policy/query"
)

// queryMargin is added to a query's deadline to give the time limit of the HTTP request.
const queryMargin = 5 * time.Second

var queryCommand = command{
	name:     "query",
	synopsis: "-node ADDR -service NAME -class NAME [-q JSON] [-deadline DURATION] [-trace] [-o text|json]",
	summary:  "Send a query to a node and show outcome, coverage, absent shards and, with -trace, each step.",
	run:      runQuery,
}

func runQuery(ctx context.Context, inv *invocation) int {
	node := inv.flags.String("node", "", "caller address (`ADDR`, IP address and port) of a node (required)")
	service := inv.flags.String("service", "", "`NAME` of the service (required)")
	class := inv.flags.String("class", "", "`NAME` of the class (required)")
	text := inv.flags.String("q", "{}", "the query, a `JSON` value")
	deadline := inv.flags.Duration("deadline", 0, "deadline of the query; 0 means the service's default")
	trace := inv.flags.Bool("trace", false, "show the steps of the query")
	if code, ok := inv.parse(); !ok {
		return code
	}
	if _, err := netip.ParseAddrPort(*node); err != nil {
		return inv.usageError("flag -node: %q is not an IP address and port", *node)
	}
	for name, value := range map[string]string{"service": *service, "class": *class} {
		if value == "" {
			return inv.usageError("flag -%s is required", name)
		}
	}
	if !json.Valid([]byte(*text)) {
		return inv.usageError("flag -q: %q is not JSON", *text)
	}
	ctx, cancel := context.WithTimeout(ctx, *deadline+queryMargin)
	defer cancel()
	answer, status, err := deployment.Query(ctx, *node, &caller.QueryRequest{
		Service:    *service,
		Class:      *class,
		Query:      json.RawMessage(*text),
		DeadlineMs: deadline.Milliseconds(),
		Trace:      *trace,
	})
	if err != nil {
		return inv.failed(err)
	}
	inv.printAnswer(answer, status)
	if answer.Outcome != query.Complete {
		return exitFailed
	}
	return exitOK
}

func (inv *invocation) printAnswer(answer *caller.Answer, status int) {
	if inv.json() {
		inv.writeJSON(answer)
		return
	}
	inv.printf("%s (HTTP %d): coverage %.3f, %d shards, snapshot %d of generation %d, configuration version %d\n",
		answer.Outcome, status, answer.Coverage, len(answer.Results), answer.Snapshot, answer.Generation, answer.ConfigVersion)
	if answer.Reason != "" {
		inv.printf("reason: %s, retry after %d ms\n", answer.Reason, answer.RetryAfterMs)
	}
	for _, a := range answer.Absent {
		inv.printf("absent: %s (%s)\n", a.Shard, a.Reason)
	}
	if answer.Cost != nil {
		inv.printf("cost: %d subrequests, %d hedges, %d retries, %d warm-ups, %d replies dropped, %d restarts\n",
			answer.Cost.Attempts, answer.Cost.Hedges, answer.Cost.Retries, answer.Cost.WarmUps, answer.Cost.Dropped, answer.Cost.Restarts)
	}
	for _, s := range answer.Trace {
		inv.printf("%9.3f ms  %-8s %s %s %s\n", float64(s.AtUs)/1000, s.Kind, s.Shard, s.Replica, s.Reason)
	}
}

package main

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/publish"
	"github.com/carobmill/carobmill/node/statusclient"
	"github.com/carobmill/carobmill/policy/configstate"
)

const (
	defaultPublishTimeout = 30 * time.Second
	// versionQueryDivisor sets the time limit of the query for the versions in force, as a
	// fraction of the publish's time limit. The query precedes the write. If no node
	// responds, the sheet is published nevertheless.
	versionQueryDivisor = 6
	// firstVersion is the version of the first configuration of a fleet.
	firstVersion = 1
	noVMListed   = "no VM is listed yet; nodes apply the version when they start"
)

var sheetPublishCommand = command{
	name: "sheet publish",
	synopsis: "FILE -platform URL -by NAME [-base VERSION] [-node ADDR[,ADDR...]] [-timeout 30s] " +
		tlsSynopsis + " [-o text|json]",
	summary: "Make a sheet the accepted configuration and wait until it is in force on every node.",
	run:     runSheetPublish,
}

type publishFlags struct {
	platform string
	by       string
	base     uint64
	nodes    string
	tls      tlsFlags
	timeout  time.Duration
}

// publishReport is the JSON output of sheet publish.
type publishReport struct {
	Outcome         string         `json:"outcome"`
	Error           string         `json:"error,omitempty"`
	Version         uint64         `json:"version,omitempty"`
	PublishID       string         `json:"publish_id,omitempty"`
	Bytes           int            `json:"bytes,omitempty"`
	AcceptedVersion uint64         `json:"accepted_version,omitempty"`
	AcceptedBy      string         `json:"accepted_by,omitempty"`
	Difference      *difference    `json:"difference,omitempty"`
	InForce         *inForceReport `json:"in_force,omitempty"`
}

type inForceReport struct {
	Everywhere bool        `json:"everywhere"`
	Nodes      int         `json:"nodes"`
	Lagging    []lagReport `json:"lagging,omitempty"`
	TookMs     int64       `json:"took_ms"`
	Error      string      `json:"error,omitempty"`
}

type lagReport struct {
	Node   string `json:"node"`
	Reason string `json:"reason"`
}

func runSheetPublish(ctx context.Context, inv *invocation) int {
	f, code, ok := inv.publishFlags()
	if !ok {
		return code
	}
	s, code, ok := inv.loadSheet(inv.args[0])
	if !ok {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	kv := newPlatform(f.platform)
	fleet, err := newFleet(f, s, kv)
	if err != nil {
		return inv.failed(err)
	}
	result := publish.Publish(ctx, publish.Options{
		KV:             kv,
		Key:            configstate.Key(s.GetFleet()),
		By:             f.by,
		Base:           f.base,
		HighestInForce: highestInForce(ctx, fleet, f.timeout/versionQueryDivisor),
	}, s)
	report := newPublishReport(result)
	if !succeeded(result.Outcome) {
		inv.printPublish(report, result)
		return publishCode(result.Outcome)
	}
	if isFirstPublishWithoutNodes(ctx, fleet, result) {
		report.InForce = &inForceReport{Error: noVMListed}
		inv.printPublish(report, result)
		return exitNotInForce
	}
	rollout := publish.Await(ctx, fleet, kv, result.Accepted.GetVersion(), 0)
	report.InForce = newInForceReport(rollout)
	inv.printPublish(report, result)
	if !rollout.Done() {
		return exitNotInForce
	}
	return exitOK
}

// isFirstPublishWithoutNodes reports whether the accepted version is the first of its fleet
// and the platform lists no VM, or only VMs that are leaving. Waiting for nodes would then
// last until the time limit.
func isFirstPublishWithoutNodes(ctx context.Context, fleet publish.Fleet, r publish.Result) bool {
	if r.Accepted.GetVersion() != firstVersion {
		return false
	}
	_, err := fleet.Status(ctx)
	return errors.Is(err, statusclient.ErrNoVM)
}

func (inv *invocation) publishFlags() (*publishFlags, int, bool) {
	f := &publishFlags{}
	inv.flags.StringVar(&f.platform, "platform", "", "base `URL` of the platform's service (required)")
	inv.flags.StringVar(&f.by, "by", "", "`NAME` of the operator who publishes (required)")
	inv.flags.Uint64Var(&f.base, "base", 0, "accepted `VERSION` that the sheet is based on; if another one is accepted, nothing is published")
	inv.flags.StringVar(&f.nodes, "node", "", "admin addresses of nodes to query, separated by commas; by default the platform's VM list is used")
	inv.flags.DurationVar(&f.timeout, "timeout", defaultPublishTimeout, "time limit of the publish, including the wait until the version is in force")
	f.tls.add(inv)
	code, ok := inv.parse("FILE")
	if ok {
		code, ok = f.tls.check(inv)
	}
	switch {
	case !ok:
		return f, code, false
	case f.platform == "":
		return f, inv.usageError("flag -platform is required"), false
	case !isURL(f.platform):
		return f, inv.usageError("flag -platform: %q is not a URL such as http://10.1.2.3:2379", f.platform), false
	case f.by == "":
		return f, inv.usageError("flag -by is required"), false
	case f.timeout <= 0:
		return f, inv.usageError("flag -timeout: %s is not allowed, must be greater than 0", f.timeout), false
	}
	return f, exitOK, true
}

func newFleet(f *publishFlags, s *pb.Sheet, kv *platform.Client) (publish.Fleet, error) {
	if f.nodes != "" {
		return statusclient.NewAdmin(strings.Split(f.nodes, ",")), nil
	}
	creds, err := f.tls.credentials()
	if err != nil {
		return nil, err
	}
	return statusclient.NewPeers(s.GetFleet(), kv, creds.Client), nil
}

// highestInForce returns the highest version that any node has in force, or 0 if no node
// responds within the time limit. At the first publish of a fleet there may be no nodes.
func highestInForce(ctx context.Context, fleet publish.Fleet, limit time.Duration) uint64 {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	nodes, err := fleet.Status(ctx)
	if err != nil {
		return 0
	}
	return publish.HighestInForce(nodes)
}

func succeeded(o publish.Outcome) bool {
	return o == publish.Published || o == publish.Unchanged || o == publish.Superseded
}

func publishCode(o publish.Outcome) int {
	switch o {
	case publish.Conflict, publish.Refused:
		return exitRefused
	case publish.TooLarge, publish.Invalid:
		return exitUsage
	default:
		return exitFailed
	}
}

func newPublishReport(r publish.Result) *publishReport {
	report := &publishReport{
		Outcome:         r.Outcome.String(),
		PublishID:       r.PublishID,
		Bytes:           r.Bytes,
		AcceptedVersion: r.Accepted.GetVersion(),
		AcceptedBy:      r.Accepted.GetPublishedBy(),
	}
	if !r.Diff.Empty() {
		report.Difference = newDifference(r.Diff)
	}
	if succeeded(r.Outcome) {
		report.Version = r.Accepted.GetVersion()
	}
	if r.Err != nil {
		report.Error = r.Err.Error()
	}
	return report
}

func newInForceReport(s publish.RolloutStatus) *inForceReport {
	report := &inForceReport{Everywhere: s.Done(), Nodes: s.Nodes, TookMs: s.Elapsed.Milliseconds()}
	for _, lag := range s.Lagging {
		report.Lagging = append(report.Lagging, lagReport(lag))
	}
	if s.Err != nil {
		report.Error = s.Err.Error()
	}
	return report
}

func (inv *invocation) printPublish(report *publishReport, r publish.Result) {
	if inv.json() {
		inv.writeJSON(report)
		return
	}
	if r.Outcome != publish.Unchanged {
		inv.printDifference(r.Diff)
	}
	inv.printf("%s", report.Outcome)
	if report.AcceptedVersion > 0 {
		inv.printf(": version %d stands, published by %s", report.AcceptedVersion, report.AcceptedBy)
	}
	inv.printf("\n")
	if report.Error != "" {
		inv.printf("reason: %s\n", report.Error)
	}
	if r.Outcome == publish.Unknown {
		inv.printf("the write may have taken effect: run sheet check with -platform before publishing again\n")
	}
	inv.printInForce(report.InForce)
}

func (inv *invocation) printInForce(f *inForceReport) {
	switch {
	case f == nil:
	case f.Error != "":
		inv.printf("unknown whether the version is in force: %s\n", f.Error)
	case f.Everywhere:
		inv.printf("in force on all %d known nodes after %d ms\n", f.Nodes, f.TookMs)
	default:
		inv.printf("in force on %d of %d known nodes after %d ms; lagging:\n", f.Nodes-len(f.Lagging), f.Nodes, f.TookMs)
		for _, lag := range f.Lagging {
			inv.printf("  %s: %s\n", lag.Node, lag.Reason)
		}
	}
}

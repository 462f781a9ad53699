package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/publish"
	"github.com/carobmill/carobmill/node/schema"
	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/policy/configstate"
	"github.com/carobmill/carobmill/policy/sheet"
)

const (
	// platformCallsPerSecond is the rate limit of calls to the platform by one command.
	platformCallsPerSecond = 10
	checkTimeout           = 10 * time.Second
)

var sheetCheckCommand = command{
	name:     "sheet check",
	synopsis: "FILE [-platform URL] [-o text|json]",
	summary:  "Report every fault of a sheet and, with -platform, its differences from the accepted sheet.",
	run:      runSheetCheck,
}

// checkReport is the JSON output of sheet check.
type checkReport struct {
	Outcome         string      `json:"outcome"`
	Faults          []fault     `json:"faults,omitempty"`
	Fleet           string      `json:"fleet,omitempty"`
	Services        int         `json:"services"`
	Shards          int         `json:"shards"`
	Replicas        int         `json:"replicas"`
	Bytes           int         `json:"bytes"`
	AcceptedVersion uint64      `json:"accepted_version,omitempty"`
	Difference      *difference `json:"difference,omitempty"`
	Refusal         string      `json:"refusal,omitempty"`
	Warnings        []string    `json:"warnings,omitempty"`
	diff            *sheet.Diff
}

type fault struct {
	File    string `json:"file"`
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// Outcomes of a check.
const (
	checkOK      = "ok"
	checkFaulty  = "faulty"
	checkRefused = "refused"
)

func runSheetCheck(ctx context.Context, inv *invocation) int {
	base := inv.flags.String("platform", "", "base `URL` of the platform's service, to compare with the accepted sheet")
	if code, ok := inv.parse("FILE"); !ok {
		return code
	}
	if *base != "" && !isURL(*base) {
		return inv.usageError("flag -platform: %q is not a URL such as http://10.1.2.3:2379", *base)
	}
	s, code, ok := inv.loadSheet(inv.args[0])
	if !ok {
		return code
	}
	report := newCheckReport(s)
	if *base != "" {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		kv := newPlatform(*base)
		accepted, err := publish.Accepted(ctx, kv, configstate.Key(s.GetFleet()))
		if err != nil {
			return inv.failed(err)
		}
		report.compare(accepted, s)
	}
	inv.printCheck(inv.args[0], report)
	if report.Outcome == checkRefused {
		return exitRefused
	}
	return exitOK
}

// loadSheet reads and checks a sheet, and prints its faults. If the last result is false,
// the command exits with the code returned.
func (inv *invocation) loadSheet(file string) (*pb.Sheet, int, bool) {
	s, faults := sheetfile.Load(file)
	if len(faults) == 0 {
		faults = tooLarge(file, s)
	}
	if len(faults) == 0 {
		return s, exitOK, true
	}
	inv.printFaults(faults)
	return nil, exitUsage, false
}

// tooLarge returns a fault if the sheet's configuration exceeds the platform's size limit.
func tooLarge(file string, s *pb.Sheet) []schema.Fault {
	size := proto.Size(&pb.Configuration{Sheet: s})
	if size <= platform.MaxValueBytes {
		return nil
	}
	return []schema.Fault{{
		File:    file,
		Path:    "file",
		Problem: fmt.Sprintf("encodes to a configuration of %d bytes", size),
		Allowed: fmt.Sprintf("the platform stores values of at most %d bytes", platform.MaxValueBytes),
	}}
}

func (inv *invocation) printFaults(faults []schema.Fault) {
	if !inv.json() {
		_, _ = io.WriteString(inv.stderr, schema.FormatFaults(faults))
		return
	}
	report := checkReport{Outcome: checkFaulty}
	for _, f := range faults {
		report.Faults = append(report.Faults, fault(f))
	}
	inv.writeJSON(report)
}

func isURL(raw string) bool {
	u, err := url.Parse(raw)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}

func newPlatform(base string) *platform.Client {
	return platform.New(base, platformCallsPerSecond, http.DefaultTransport)
}

func newCheckReport(s *pb.Sheet) *checkReport {
	report := &checkReport{Outcome: checkOK, Fleet: s.GetFleet(), Services: len(s.GetServices())}
	seen := make(map[string]bool)
	for _, svc := range s.GetServices() {
		for _, gen := range svc.GetGenerations() {
			report.Shards += len(gen.GetShards())
			for _, shard := range gen.GetShards() {
				for _, r := range shard.GetReplicas() {
					seen[r.GetName()] = true
				}
			}
		}
	}
	report.Replicas = len(seen)
	report.Bytes = proto.Size(&pb.Configuration{Sheet: s})
	return report
}

func (r *checkReport) compare(accepted *pb.Configuration, s *pb.Sheet) {
	diff := sheet.Compare(accepted.GetSheet(), s)
	r.diff = &diff
	r.Difference = newDifference(diff)
	r.AcceptedVersion = accepted.GetVersion()
	if r.Refusal = diff.LossRefusal(s); r.Refusal != "" {
		r.Outcome = checkRefused
	}
	if s.GetAllowLoss() && len(diff.Unserved) == 0 && diff.Loss.Percent <= float64(s.GetMaxLossPercent()) {
		r.Warnings = append(r.Warnings, "allow_loss is set but not needed: remove it, otherwise a truncated export is accepted")
	}
}

func (inv *invocation) printCheck(file string, r *checkReport) {
	if inv.json() {
		inv.writeJSON(r)
		return
	}
	inv.printf("%s: fleet %s, %d services, %d shards, %d replicas, %d bytes\n",
		file, r.Fleet, r.Services, r.Shards, r.Replicas, r.Bytes)
	if r.diff != nil {
		inv.printf("compared with accepted version %d:\n", r.AcceptedVersion)
		inv.printDifference(*r.diff)
	}
	for _, warning := range r.Warnings {
		inv.printf("warning: %s\n", warning)
	}
	if r.Outcome == checkRefused {
		inv.printf("refused: %s; if the loss is intended, set allow_loss: true\n", r.Refusal)
		return
	}
	inv.printf("ok\n")
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	standin "github.com/carobmill/carobmill/standin/platform"
)

const kenyaKey = "carobmill/rift-vintage-rally/configuration"

// twoNodeStatus returns the status of a fleet of two nodes. Node a has the platform's
// version in force, node b is lag versions behind.
func twoNodeStatus(platform *standin.Server, lag uint64) func() []*pb.NodeStatus {
	return func() []*pb.NodeStatus {
		cfg := &pb.Configuration{}
		_ = proto.Unmarshal(platform.Value(kenyaKey), cfg)
		return []*pb.NodeStatus{
			{Node: "a", ConfigVersion: cfg.GetVersion(), PlatformReachable: true},
			{Node: "b", ConfigVersion: cfg.GetVersion() - min(lag, cfg.GetVersion())},
		}
	}
}

func runPublish(c *qt.C, args ...string) (int, publishReport) {
	code, stdout, stderr := runTool(append([]string{"sheet", "publish", "-o", "json", "-by", "ops"}, args...)...)
	var report publishReport
	c.Assert(json.Unmarshal([]byte(stdout), &report), qt.IsNil, qt.Commentf("%s%s", stdout, stderr))
	return code, report
}

// Guards against a second write after the reply to the first is lost: one version is
// written, and the publish succeeds when the version is in force on every node. Publishing
// the accepted sheet again changes nothing.
func TestPublishWaitsUntilInForceDespiteLostAnswer(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, twoNodeStatus(platform, 0))
	code, report := runPublish(c, kenyaSheet, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Version, qt.Equals, uint64(1))
	c.Assert(report.InForce.Everywhere, qt.IsTrue)
	c.Assert(report.InForce.Nodes, qt.Equals, 2)

	platform.DropWriteReplies(1)
	out := sheetWithReplacement(c, "{name: nakuru-1, region: kenya, state: in_service}", "{name: nakuru-1, region: kenya, state: out}")
	code, stdout, _ := runTool("sheet", "check", out, "-platform", url)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(stdout, qt.Contains, "~ data_centres[nakuru-1].state: in_service -> out")
	code, report = runPublish(c, out, "-platform", url, "-node", node, "-base", "1")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Version, qt.Equals, uint64(2))

	code, accepted, _ := runTool("sheet", "show", "-platform", url, "-fleet", "rift-vintage-rally")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(os.WriteFile(out, []byte(accepted), 0o600), qt.IsNil)
	code, report = runPublish(c, out, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Outcome, qt.Equals, "unchanged")
}

// Guards against waiting until the time limit when a fleet's first sheet is published and
// no node runs.
func TestFirstPublishWithoutNodesDoesNotWait(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c, nil)
	code, report := runPublish(c, kenyaSheet, "-platform", url, "-timeout", "10m")
	c.Assert(code, qt.Equals, exitNotInForce)
	c.Assert(report.InForce.Error, qt.Equals, noVMListed)
}

// If a node does not apply the version within the time limit, sheet publish lists the
// lagging node and returns exit code 4. The sheet stays accepted.
func TestPublishReportsLaggingNodesAtTimeout(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, twoNodeStatus(platform, 1))
	code, stdout, _ := runTool("sheet", "publish", kenyaSheet, "-platform", url, "-by", "ops", "-node", node, "-timeout", "600ms")
	c.Assert(code, qt.Equals, exitNotInForce)
	c.Assert(stdout, qt.Contains, "accepted: version 1 stands, published by ops")
	c.Assert(stdout, qt.Contains, "in force on 1 of 2 known nodes")
	c.Assert(stdout, qt.Contains, "  b: version in force is 0, the platform is unreachable from it")
}

// Guards against overwriting a version that another operator writes between the read and
// the write of a publish: it returns exit code 3 and prints the differences from the other
// version, which stays accepted.
func TestPublishIsRefusedAfterConcurrentPublish(t *testing.T) {
	c := qt.New(t)
	concurrent := sheetWithReplacement(c, "{name: nakuru-1, region: kenya, state: in_service}", "{name: nakuru-1, region: kenya, state: out}")
	var url string
	var concurrentStarted atomic.Bool
	var platform *standin.Server
	platform, url = startPlatform(c, func(r *http.Request) {
		if r.Method == http.MethodPut && concurrentStarted.CompareAndSwap(false, true) {
			code, report := runPublish(c, concurrent, "-platform", url, "-timeout", "300ms")
			c.Check(code, qt.Equals, exitNotInForce)
			c.Check(report.Outcome, qt.Equals, "accepted")
		}
	})
	code, stdout, _ := runTool("sheet", "publish", kenyaSheet, "-platform", url, "-by", "ops", "-timeout", "5s")
	c.Assert(code, qt.Equals, exitRefused)
	c.Assert(stdout, qt.Contains, "lost the race: version 1 stands")
	c.Assert(stdout, qt.Contains, "~ data_centres[nakuru-1].state: out -> in_service")
	cfg := &pb.Configuration{}
	c.Assert(proto.Unmarshal(platform.Value(kenyaKey), cfg), qt.IsNil)
	c.Assert(cfg.GetVersion(), qt.Equals, uint64(1))
}

// Of eight concurrent publishes based on version 1, exactly one is accepted as version 2.
// The others return exit code 3.
func TestConcurrentPublishesAcceptExactlyOne(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, twoNodeStatus(platform, 0))
	code, _ := runPublish(c, kenyaSheet, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	const operators = 8
	codes := make(chan int, operators)
	for i := range operators {
		file := sheetWithReplacement(c, "default_deadline_ms: 240", fmt.Sprintf("default_deadline_ms: %d", 300+i))
		go func() {
			code, _, _ := runTool("sheet", "publish", file, "-platform", url, "-by", fmt.Sprint(i), "-node", node, "-base", "1")
			codes <- code
		}()
	}
	count := make(map[int]int)
	for range operators {
		count[<-codes]++
	}
	c.Assert(count, qt.DeepEquals, map[int]int{exitOK: 1, exitRefused: operators - 1})
	cfg := &pb.Configuration{}
	c.Assert(proto.Unmarshal(platform.Value(kenyaKey), cfg), qt.IsNil)
	c.Assert(cfg.GetVersion(), qt.Equals, uint64(2))
}

// sheet check and sheet publish refuse a sheet that removes too many replicas of a service,
// with exit code 3, unless the sheet sets allow_loss.
func TestLossIsRefusedUnlessAllowed(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, twoNodeStatus(platform, 0))
	code, _ := runPublish(c, kenyaSheet, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)

	reduced := sheetWithoutLines(c, "name: partner-news-1")
	code, stdout, _ := runTool("sheet", "check", reduced, "-platform", url)
	c.Assert(code, qt.Equals, exitRefused)
	c.Assert(stdout, qt.Contains, "most at service partner-news, 23.1%")
	code, report := runPublish(c, reduced, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitRefused)
	c.Assert(report.Outcome, qt.Equals, "refused")
	c.Assert(report.Error, qt.Contains, "partner-news would lose 23.1%")
	c.Assert(report.AcceptedVersion, qt.Equals, uint64(1))

	data, err := os.ReadFile(reduced)
	c.Assert(err, qt.IsNil)
	allowed := strings.Replace(string(data), "max_loss_percent: 20", "max_loss_percent: 20\nallow_loss: true", 1)
	c.Assert(os.WriteFile(reduced, []byte(allowed), 0o600), qt.IsNil)
	code, report = runPublish(c, reduced, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Difference.Loss.Replicas, qt.Equals, 3)
}

// A sheet above the platform's size limit is refused before any call to the platform.
func TestOversizedSheetIsRefusedBeforeAnyPlatformCall(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	var classes strings.Builder
	for i := range 30000 {
		fmt.Fprintf(&classes, "      - {name: %s%d, priority: 3}\n", strings.Repeat("c", 40), i)
	}
	file := sheetWithReplacement(c, "    classes:\n", "    classes:\n"+classes.String())
	code, _, stderr := runTool("sheet", "publish", file, "-platform", url, "-by", "ops")
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(stderr, qt.Matches, `(?s).*sheet.yaml: file: encodes to a configuration of \d+ bytes, the platform stores values of at most 1048576 bytes\n`)
	c.Assert(platform.Calls().Total(), qt.Equals, uint64(0))
}

func TestPublishAndCheckFailWhilePlatformIsUnavailable(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	platform.SetDown(true)
	code, stdout, _ := runTool("sheet", "publish", kenyaSheet, "-platform", url, "-by", "ops", "-timeout", "500ms")
	c.Assert(code, qt.Equals, exitFailed)
	c.Assert(stdout, qt.Contains, "platform unavailable")
	code, _, _ = runTool("sheet", "check", kenyaSheet, "-platform", url)
	c.Assert(code, qt.Equals, exitFailed)
}

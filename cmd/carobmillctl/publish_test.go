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

// obedient answers like a fleet of two nodes that has in force what stands at
// the platform, but for those that lag.
func obedient(platform *standin.Server, lag uint64) func() []*pb.NodeStatus {
	return func() []*pb.NodeStatus {
		cfg := &pb.Configuration{}
		_ = proto.Unmarshal(platform.Value(kenyaKey), cfg)
		return []*pb.NodeStatus{
			{Node: "a", ConfigVersion: cfg.GetVersion(), PlatformReachable: true},
			{Node: "b", ConfigVersion: cfg.GetVersion() - min(lag, cfg.GetVersion())},
		}
	}
}

func publishReportOf(c *qt.C, args ...string) (int, publishReport) {
	code, stdout, stderr := ctl(append([]string{"sheet", "publish", "-o", "json", "-by", "ops"}, args...)...)
	var report publishReport
	c.Assert(json.Unmarshal([]byte(stdout), &report), qt.IsNil, qt.Commentf("%s%s", stdout, stderr))
	return code, report
}

// The morning's export is checked and published; the answer to the write is
// lost on the way. The operator still learns that it is in force everywhere,
// and one version, not two, was written.
func TestPublishWaitsUntilInForceDespiteLostAnswer(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, obedient(platform, 0))
	code, report := publishReportOf(c, kenya, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Version, qt.Equals, uint64(1))
	c.Assert(report.InForce.Everywhere, qt.IsTrue)
	c.Assert(report.InForce.Nodes, qt.Equals, 2)

	platform.DropWriteReplies(1)
	out := edited(c, "{name: nakuru-1, region: kenya, state: in_service}", "{name: nakuru-1, region: kenya, state: out}")
	code, stdout, _ := ctl("sheet", "check", out, "-platform", url)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(stdout, qt.Contains, "~ data_centres[nakuru-1].state: in_service -> out")
	code, report = publishReportOf(c, out, "-platform", url, "-node", node, "-base", "1")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Version, qt.Equals, uint64(2))

	code, shown, _ := ctl("sheet", "show", "-platform", url, "-fleet", "rift-vintage-rally")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(os.WriteFile(out, []byte(shown), 0o600), qt.IsNil)
	code, report = publishReportOf(c, out, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Outcome, qt.Equals, "unchanged")
}

// The first sheet of a fleet is published before any node is started. There is nobody
// to wait for, and the operator is told so at once, not after the time limit.
func TestFirstPublishWithoutNodesDoesNotWait(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c, nil)
	code, report := publishReportOf(c, kenya, "-platform", url, "-timeout", "10m")
	c.Assert(code, qt.Equals, exitNotInForce)
	c.Assert(report.InForce.Error, qt.Equals, noNodeYet)
}

// One node does not take the new version. Within the time limit the operator
// gets the list of those that lag and exit code 4; the sheet stays accepted.
func TestPublishReportsLaggingNodesAtTimeout(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, obedient(platform, 1))
	code, stdout, _ := ctl("sheet", "publish", kenya, "-platform", url, "-by", "ops", "-node", node, "-timeout", "600ms")
	c.Assert(code, qt.Equals, exitNotInForce)
	c.Assert(stdout, qt.Contains, "accepted: version 1 stands, published by ops")
	c.Assert(stdout, qt.Contains, "in force on 1 of 2 nodes known")
	c.Assert(stdout, qt.Contains, "  b: version in force is 0, the platform is unreachable from it")
}

// Two operators publish at once: the rival's write lands between this
// operator's read and write. This operator gets exit code 3 and sees what its
// sheet would change against the rival's; the rival's version stands.
func TestPublishIsRefusedAfterConcurrentPublish(t *testing.T) {
	c := qt.New(t)
	rival := edited(c, "{name: nakuru-1, region: kenya, state: in_service}", "{name: nakuru-1, region: kenya, state: out}")
	var url string
	var raced atomic.Bool
	var platform *standin.Server
	platform, url = startPlatform(c, func(r *http.Request) {
		if r.Method == http.MethodPut && raced.CompareAndSwap(false, true) {
			code, report := publishReportOf(c, rival, "-platform", url, "-timeout", "300ms")
			c.Check(code, qt.Equals, exitNotInForce)
			c.Check(report.Outcome, qt.Equals, "accepted")
		}
	})
	code, stdout, _ := ctl("sheet", "publish", kenya, "-platform", url, "-by", "ops", "-timeout", "5s")
	c.Assert(code, qt.Equals, exitRefused)
	c.Assert(stdout, qt.Contains, "lost the race: version 1 stands")
	c.Assert(stdout, qt.Contains, "~ data_centres[nakuru-1].state: out -> in_service")
	cfg := &pb.Configuration{}
	c.Assert(proto.Unmarshal(platform.Value(kenyaKey), cfg), qt.IsNil)
	c.Assert(cfg.GetVersion(), qt.Equals, uint64(1))
}

// Eight operators publish changes of version 1 at the same time. Exactly one is
// accepted, the others get exit code 3, and version 2 is the winner's.
func TestConcurrentPublishesAcceptExactlyOne(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, obedient(platform, 0))
	code, _ := publishReportOf(c, kenya, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	const operators = 8
	codes := make(chan int, operators)
	for i := range operators {
		file := edited(c, "default_deadline_ms: 240", fmt.Sprintf("default_deadline_ms: %d", 300+i))
		go func() {
			code, _, _ := ctl("sheet", "publish", file, "-platform", url, "-by", fmt.Sprint(i), "-node", node, "-base", "1")
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

// The export lost a service. check and publish refuse it with exit code 3 until
// the sheet states that the loss is meant.
func TestLossIsRefusedUnlessAllowed(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	node := startNode(c, obedient(platform, 0))
	code, _ := publishReportOf(c, kenya, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)

	lossy := without(c, "name: partner-news-1")
	code, stdout, _ := ctl("sheet", "check", lossy, "-platform", url)
	c.Assert(code, qt.Equals, exitRefused)
	c.Assert(stdout, qt.Contains, "most at service partner-news, 23.1%")
	code, report := publishReportOf(c, lossy, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitRefused)
	c.Assert(report.Outcome, qt.Equals, "refused")
	c.Assert(report.Error, qt.Contains, "partner-news would lose 23.1%")
	c.Assert(report.AcceptedVersion, qt.Equals, uint64(1))

	data, err := os.ReadFile(lossy)
	c.Assert(err, qt.IsNil)
	meant := strings.Replace(string(data), "max_loss_percent: 20", "max_loss_percent: 20\nallow_loss: true", 1)
	c.Assert(os.WriteFile(lossy, []byte(meant), 0o600), qt.IsNil)
	code, report = publishReportOf(c, lossy, "-platform", url, "-node", node)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(report.Difference.Loss.Replicas, qt.Equals, 3)
}

// A sheet beyond the platform's megabyte is refused before any call.
func TestOversizedSheetIsRefusedBeforeAnyPlatformCall(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	var classes strings.Builder
	for i := range 30000 {
		fmt.Fprintf(&classes, "      - {name: %s%d, priority: 3}\n", strings.Repeat("c", 40), i)
	}
	file := edited(c, "    classes:\n", "    classes:\n"+classes.String())
	code, _, stderr := ctl("sheet", "publish", file, "-platform", url, "-by", "ops")
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(stderr, qt.Matches, `(?s).*sheet.yaml: file: makes a configuration of \d+ bytes, the platform holds values of at most 1048576 bytes\n`)
	c.Assert(platform.Calls().Total(), qt.Equals, uint64(0))
}

func TestPublishAndCheckFailWhilePlatformIsUnavailable(t *testing.T) {
	c := qt.New(t)
	platform, url := startPlatform(c, nil)
	platform.SetDown(true)
	code, stdout, _ := ctl("sheet", "publish", kenya, "-platform", url, "-by", "ops", "-timeout", "500ms")
	c.Assert(code, qt.Equals, exitFailed)
	c.Assert(stdout, qt.Contains, "platform unavailable")
	code, _, _ = ctl("sheet", "check", kenya, "-platform", url)
	c.Assert(code, qt.Equals, exitFailed)
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/standin/platform"
)

const (
	kenyaSheet = "../../examples/kenya.yaml"
	chileSheet = "../../examples/chile.yaml"
)

// runTool runs the tool and returns its exit code and outputs.
func runTool(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(context.Background(), args, &out, &errs)
	return code, out.String(), errs.String()
}

// sheetWithReplacement writes the Kenyan sheet with the first occurrence of old replaced,
// and returns its path.
func sheetWithReplacement(c *qt.C, old, replacement string) string {
	data, err := os.ReadFile(kenyaSheet)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(data), old), qt.IsTrue)
	file := filepath.Join(c.TempDir(), "sheet.yaml")
	c.Assert(os.WriteFile(file, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600), qt.IsNil)
	return file
}

// sheetWithoutLines writes the Kenyan sheet without the lines that contain text, and
// returns its path.
func sheetWithoutLines(c *qt.C, text string) string {
	data, err := os.ReadFile(kenyaSheet)
	c.Assert(err, qt.IsNil)
	var lines []string
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	file := filepath.Join(c.TempDir(), "sheet.yaml")
	c.Assert(os.WriteFile(file, []byte(strings.Join(lines, "")), 0o600), qt.IsNil)
	return file
}

// startPlatform starts a stand-in of the platform. before, if not nil, runs before each
// call.
func startPlatform(c *qt.C, before func(r *http.Request)) (*platform.Server, string) {
	s := platform.New(platform.Options{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if before != nil {
			before(r)
		}
		s.ServeHTTP(w, r)
	}))
	c.Cleanup(server.Close)
	return s, server.URL
}

// startNode starts an admin listener that returns nodes as the status of the fleet.
func startNode(c *qt.C, nodes func() []*pb.NodeStatus) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" || r.URL.Query().Get("fleet") != "true" {
			http.NotFound(w, r)
			return
		}
		body, _ := protojson.Marshal(&pb.StatusResponse{Nodes: nodes()})
		_, _ = w.Write(body)
	}))
	c.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestExampleSheetsPassSheetCheck(t *testing.T) {
	c := qt.New(t)
	for _, file := range []string{kenyaSheet, chileSheet} {
		code, stdout, stderr := runTool("sheet", "check", file)
		c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr))
		c.Assert(stdout, qt.Contains, "4 services, 27 shards")
	}
}

// Guards against publishing a faulty export: the exit code stops a pipeline, and the text
// and JSON outputs name the path of the fault.
func TestSheetCheckReportsPathOfEachFault(t *testing.T) {
	cases := []struct {
		name string
		file func(*qt.C) string
		path string
	}{
		{"duplicate replica", func(c *qt.C) string { return sheetWithReplacement(c, "name: timing-00-b", "name: timing-00-a") },
			"services[0].generations[0].shards[0].replicas[1].name"},
		{"unknown data centre", func(c *qt.C) string { return sheetWithReplacement(c, "data_centre: nairobi-2", "data_centre: x") },
			"services[0].generations[0].shards[0].replicas[1].data_centre"},
		{"shard without replicas", func(c *qt.C) string {
			return sheetWithReplacement(c, "replicas:\n              - {name: timing-00-a, data_centre: nairobi-1, address: \"127.0.0.1:21000\"}\n              - {name: timing-00-b, data_centre: nairobi-2, address: \"127.0.0.1:21001\"}\n              - {name: timing-00-c, data_centre: nakuru-1, address: \"127.0.0.1:21002\"}\n", "replicas: []\n")
		}, "services[0].generations[0].shards[0].replicas"},
		{"zero slots", func(c *qt.C) string { return sheetWithReplacement(c, "slots: 3", "slots: 0") }, "services[0].slots"},
		{"unknown key", func(c *qt.C) string { return sheetWithReplacement(c, "slots: 3", "slots: 3\n    slot: 3") }, "services[0].slot"},
		{"truncated file", func(c *qt.C) string { return sheetWithoutLines(c, "...") }, "end of file"},
		{"missing file", func(c *qt.C) string { return filepath.Join(c.TempDir(), "none.yaml") }, "file"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			file := tc.file(c)
			code, _, stderr := runTool("sheet", "check", file)
			c.Assert(code, qt.Equals, exitUsage)
			c.Assert(stderr, qt.Contains, file+": "+tc.path+": ")
			code, stdout, _ := runTool("sheet", "check", file, "-o", "json")
			c.Assert(code, qt.Equals, exitUsage)
			var report checkReport
			c.Assert(json.Unmarshal([]byte(stdout), &report), qt.IsNil)
			c.Assert(report.Outcome, qt.Equals, checkFaulty)
			c.Assert(report.Faults, qt.HasLen, 1)
			c.Assert(report.Faults[0].Path, qt.Equals, tc.path)
		})
	}
}

func TestUsageErrorsNameTheFlagAndPrintUsage(t *testing.T) {
	cases := []struct{ args, want string }{
		{"", "usage:"},
		{"sheet", `unknown command "sheet"`},
		{"sheet check", "argument FILE is missing"},
		{"sheet check a b", `unexpected argument "b"`},
		{"sheet check a -o xml", `flag -o: "xml" is not allowed`},
		{"sheet check a -platforms x", "flag provided but not defined: -platforms"},
		{"sheet check a -platform x", `flag -platform: "x" is not a URL`},
		{"sheet publish a -platform http://127.0.0.1:1", "flag -by is required"},
		{"sheet publish a -by ops", "flag -platform is required"},
		{"sheet publish a -timeout soon", `invalid value "soon" for flag -timeout`},
		{"sheet publish a -platform http://127.0.0.1:1 -by ops -timeout 0s", "flag -timeout"},
		{"sheet publish a -platform http://127.0.0.1:1 -by ops -tls-key k", "flags -tls-certificate, -tls-key and -tls-authority"},
		{"status", "flag -node or -peer is required"},
		{"status -peer 127.0.0.1:1", "flag -fleet is required with -peer"},
		{"status -peer 127.0.0.1:1 -fleet f -tls-key k", "flags -tls-certificate, -tls-key and -tls-authority"},
		{"status -node 127.0.0.1:1 -tls-certificate c -tls-key k -tls-authority a", "admin listeners speak plain HTTP"},
		{"status -node localhost:1", `flag -node: "localhost:1" is not an IP address and port`},
	}
	for _, tc := range cases {
		c := qt.New(t)
		code, _, stderr := runTool(strings.Fields(tc.args)...)
		c.Assert(code, qt.Equals, exitUsage, qt.Commentf("%s", tc.args))
		c.Assert(stderr, qt.Contains, tc.want)
		c.Assert(stderr, qt.Contains, "usage:")
	}
}

func TestStatusListsVersionsMembersAndReplicasOfFleet(t *testing.T) {
	c := qt.New(t)
	cold := &pb.OwnedReplica{Service: "timing", Replica: "timing-00-a", ConnectionLimit: 10, Connections: 1,
		News: &pb.ReplicaNews{State: pb.ReplicaState_REPLICA_STATE_COLD, Limit: 1}}
	warm := &pb.OwnedReplica{Service: "timing", Replica: "timing-00-b",
		News: &pb.ReplicaNews{State: pb.ReplicaState_REPLICA_STATE_WARM, Limit: 3}}
	address := startNode(c, func() []*pb.NodeStatus {
		return []*pb.NodeStatus{
			{Node: "a", DataCentre: "dc-1", Ready: true, ConfigVersion: 7, PlatformReachable: true,
				Owned:   []*pb.OwnedReplica{cold, warm},
				Members: []*pb.MemberChange{{Node: "b", State: pb.MemberState_MEMBER_STATE_SUSPECT}}},
			{Node: "b", DataCentre: "dc-2", ConfigVersion: 6, UnreadyReason: "shutting down"},
			{Node: "c", DataCentre: "dc-2", Error: "timeout"},
		}
	})
	code, stdout, stderr := runTool("status", "-node", "127.0.0.1:1,"+address)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr))
	for _, want := range []string{
		"3 nodes\n", "version 7 in force on 1", "version 6 in force on 1", "cannot be asked: 1",
		"member b is suspect as seen by 1 nodes", "shutting down", "cannot be asked: timeout",
		"2 replicas with an owner, 1 listed",
	} {
		c.Assert(stdout, qt.Contains, want)
	}
	c.Assert(stdout, qt.Matches, `(?s).*\ndc-1 +in service +1 +1 +0 +2 +1 +0 +0\ndc-2 +in service +2 +0 +1 +0 .*`)
	c.Assert(stdout, qt.Matches, `(?s).*timing +timing-00-a +a +0 +cold +0 +1 +1/10 .*`)
	code, stdout, _ = runTool("status", "-node", address, "-o", "json")
	c.Assert(code, qt.Equals, exitOK)
	decoded := &pb.StatusResponse{}
	c.Assert(protojson.Unmarshal([]byte(stdout), decoded), qt.IsNil)
	c.Assert(decoded.GetNodes(), qt.HasLen, 3)

	code, _, stderr = runTool("status", "-node", "127.0.0.1:1")
	c.Assert(code, qt.Equals, exitFailed)
	c.Assert(stderr, qt.Contains, "refused")
}

// Guards against an upgrade that operators cannot follow: its state, leader, phases and the
// requests that the new version has received.
func TestStatusListsUpgrades(t *testing.T) {
	c := qt.New(t)
	address := startNode(c, func() []*pb.NodeStatus {
		return []*pb.NodeStatus{
			{Node: "a", Upgrades: []*pb.UpgradeStatus{{
				Service: "desk", Version: "v2", State: "running", Leader: "a", Phase: "canary", Requests: 100, Exposed: 9,
			}}},
			{Node: "b", Upgrades: []*pb.UpgradeStatus{{
				Service: "desk", Version: "v2", State: "running", Leader: "a", Phase: "canary", Requests: 50, Exposed: 4,
			}}},
		}
	})
	code, stdout, stderr := runTool("status", "-node", address)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr))
	c.Assert(stdout, qt.Matches, `(?s).*desk +v2 +running +a +canary on 2 +150 +13\n.*`)
}

// Guards against an account that is refused without operators seeing its cap, its requests
// over all nodes and the nodes that refuse it.
func TestStatusListsAccounts(t *testing.T) {
	c := qt.New(t)
	address := startNode(c, func() []*pb.NodeStatus {
		return []*pb.NodeStatus{
			{Node: "a", Accounts: []*pb.AccountStatus{
				{Account: "desk", Rate: 10, Burst: 20, Demand: 8, Admitted: 100, Refused: 7, Exhausted: true},
			}},
			{Node: "b", Accounts: []*pb.AccountStatus{
				{Account: "desk", Rate: 10, Burst: 20, Demand: 4, Admitted: 50},
				{Account: "portal", Rate: 5, Burst: 5, Demand: 30, Admitted: 9},
			}},
		}
	})
	code, stdout, stderr := runTool("status", "-node", address)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr))
	c.Assert(stdout, qt.Matches, `(?s).*portal +5/s and 5 +30.0 +9 +0 +1 +0\ndesk +10/s and 20 +12.0 +150 +7 +2 +1\n.*`)
}

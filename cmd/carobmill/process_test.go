package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/command"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/policy/query"
)

// patience bounds each wait of a test with real processes.
const patience = 30 * time.Second

// process is a node that runs as a process of its own.
type process struct {
	cmd    *exec.Cmd
	caller string
}

// buildNode builds the binary into the test's own folder.
func buildNode(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "carobmill")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// freeAddress returns a loopback address that was free a moment ago, below the
// range of outgoing connections and at random, because other tests draw ports at
// the same time.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(10000)))
		if err != nil {
			continue
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !given[addr] {
			given[addr] = true
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// given holds the addresses that freeAddress has returned.
var given = make(map[string]bool)

func startProcess(t *testing.T, binary, platformURL string, sheet *pb.Sheet, n int, seeds []string) *process {
	t.Helper()
	c := qt.New(t)
	address := freeAddress(t)
	settings := fmt.Sprintf(`node: vm-%d
fleet: %s
data_centre: %s
caller_address: "%s"
admin_address: "%s"
peer_address: "%s"
platform_url: "%s"
seeds: ["%s"]
timing: {balancer_lag_ms: 300}
`, n, sheet.GetFleet(), sheet.GetDataCentres()[n%4].GetName(), address, freeAddress(t), seeds[n], platformURL, strings.Join(seeds, `", "`))
	file := filepath.Join(t.TempDir(), "node.yaml")
	c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	cmd := exec.Command(binary, "run", "-settings", file)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	c.Assert(cmd.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			t.Logf("log of vm-%d:\n%s", n, log.String())
		}
	})
	return &process{cmd: cmd, caller: address}
}

func (p *process) ask(ctx context.Context) (*caller.Answer, error) {
	answer, _, err := deployment.Query(ctx, p.caller, &caller.QueryRequest{
		Service: "timing",
		Class:   "checkpoint",
		Query:   json.RawMessage(`{"rider":7}`),
	})
	return answer, err
}

// complete waits until a node answers in full.
func (p *process) complete(t *testing.T) {
	t.Helper()
	err := deployment.Wait(t.Context(), patience, func() string {
		answer, err := p.ask(t.Context())
		if err != nil {
			return err.Error()
		}
		if answer.Outcome != query.Complete {
			return fmt.Sprintf("%s %s %v", answer.Outcome, answer.Reason, answer.Absent)
		}
		return ""
	})
	qt.Assert(t, err, qt.IsNil)
}

// deploy starts stand-ins and a number of nodes, spread over the data centres, and
// waits until each answers in full.
func deploy(t *testing.T, nodes int) (*deployment.Deployment, []*process) {
	t.Helper()
	c := qt.New(t)
	sheet, faults := sheetfile.Load(filepath.Join("..", "..", "examples", "kenya.yaml"))
	c.Assert(faults, qt.HasLen, 0)
	sheet.Services = sheet.GetServices()[:1]
	d, err := deployment.StartStandins(deployment.Options{Sheet: sheet})
	c.Assert(err, qt.IsNil)
	t.Cleanup(d.Close)
	c.Assert(d.Publish(t.Context(), sheet), qt.IsNil)
	binary := buildNode(t)
	var seeds []string
	for range nodes {
		seeds = append(seeds, freeAddress(t))
	}
	var started []*process
	for n := range nodes {
		started = append(started, startProcess(t, binary, d.PlatformURL, sheet, n, seeds))
	}
	for _, p := range started {
		p.complete(t)
	}
	return d, started
}

// Four nodes run as processes, one in each data centre. Callers get complete
// answers at each. One process is killed: the others answer in full again. One is
// told to end: it exits 0 after it has answered what it had accepted.
func TestNodeProcessesServeAfterKillAndShutDownGracefully(t *testing.T) {
	c := qt.New(t)
	_, nodes := deploy(t, 4)
	c.Assert(nodes[3].cmd.Process.Kill(), qt.IsNil)
	for _, p := range nodes[:3] {
		p.complete(t)
	}
	answered := make(chan *caller.Answer, 1)
	go func() {
		answer, _ := nodes[0].ask(context.Background())
		answered <- answer
	}()
	time.Sleep(time.Millisecond)
	c.Assert(nodes[0].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	answer := <-answered
	c.Assert(answer.Outcome, qt.Equals, query.Complete, qt.Commentf("%+v", answer))
	c.Assert(nodes[0].cmd.Wait(), qt.IsNil, qt.Commentf("exit code"))
}

// One of eight nodes is paused for longer than every timeout, as a VM is that its
// host moves. Meanwhile the backend servers of its data centre restart cold and
// fees are taken at the other nodes under keys. On waking it still believes its
// replicas warm and its claims valid; it has to find out before it sends. No cold
// backend server gets more than it bears, no fee is taken twice, and the node
// answers in full again.
func TestPausedNodeResumesWithoutOverloadOrDuplicateExecution(t *testing.T) {
	c := qt.New(t)
	d, nodes := deploy(t, 8)
	paused := nodes[0]
	c.Assert(paused.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	// The paused node has requests of a caller to carry out when it wakes.
	waiting := make(chan struct{})
	go func() {
		defer close(waiting)
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			_, _ = paused.ask(ctx)
			cancel()
		}
	}()
	for _, server := range d.Backends {
		server.Restart()
	}
	for fee := range 20 {
		key := fmt.Sprintf("fee-%d", fee)
		first := nodes[1+fee%7].pay(t, key)
		second := nodes[1+(fee+3)%7].pay(t, key)
		// "unknown" is right while the first outcome is not recorded yet.
		if first == query.Complete && second == query.Refused {
			c.Errorf("%s was taken, and its repetition reads not run", key)
		}
	}
	<-waiting
	c.Assert(paused.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	for _, p := range nodes {
		p.complete(t)
	}
	connections := int(d.Sheet.GetServices()[0].GetConnections())
	runs := make(map[string]int)
	for name, server := range d.Backends {
		counts := server.Counts()
		c.Check(counts.ColdOverloads, qt.Equals, uint64(0), qt.Commentf("%s", name))
		c.Check(counts.MaxConnections <= connections, qt.IsTrue, qt.Commentf("%s: %+v", name, counts))
		for _, run := range server.RunLog() {
			runs[run.Digest]++
		}
	}
	c.Check(len(runs) >= 10, qt.IsTrue, qt.Commentf("only %d of 20 fees ran", len(runs)))
	for digest, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("fee %s", digest))
	}
}

// pay submits a fee under a key and returns its outcome.
func (p *process) pay(t *testing.T, key string) query.Outcome {
	t.Helper()
	body, err := json.Marshal(&caller.ExecuteRequest{
		Service:        "timing",
		Class:          "checkpoint",
		Key:            key,
		IdempotencyKey: key,
		Body:           json.RawMessage(`"` + key + `"`),
		DeadlineMs:     2000,
	})
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.Post("http://"+p.caller+"/v1/execute", "application/json", bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var answer caller.ExecuteAnswer
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&answer), qt.IsNil)
	return answer.Outcome
}

func TestExitCodesForUsageAndSettings(t *testing.T) {
	c := qt.New(t)
	faulty := filepath.Join(t.TempDir(), "node.yaml")
	c.Assert(os.WriteFile(faulty, []byte("node: vm\nports: 7\nlimits: {workers: many}\n"), 0o600), qt.IsNil)
	cases := []struct {
		args []string
		code int
		text string
	}{
		{nil, command.ExitUsage, "usage:"},
		{[]string{"walk"}, command.ExitUsage, `unknown command "walk"`},
		{[]string{"run"}, command.ExitUsage, "-settings FILE is required"},
		{[]string{"check-settings", faulty}, command.ExitUsage, "ports: "},
		{[]string{"run", "-settings", faulty}, command.ExitUsage, "limits.workers: "},
		{[]string{"check-settings", filepath.Join("..", "..", "examples", "node.yaml")}, command.ExitOK, "ok"},
		{[]string{"version"}, command.ExitOK, "carobmill"},
	}
	for _, tc := range cases {
		var stdout, stderr bytes.Buffer
		code := command.Run(t.Context(), tc.args, &stdout, &stderr, nil)
		c.Check(code, qt.Equals, tc.code, qt.Commentf("%v", tc.args))
		c.Check(stdout.String()+stderr.String(), qt.Contains, tc.text)
	}
}

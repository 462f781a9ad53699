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

// waitTimeout bounds each wait of a test with real processes.
const waitTimeout = 30 * time.Second

// process is a node that runs as a separate process.
type process struct {
	cmd           *exec.Cmd
	callerAddress string
}

// buildNode builds the binary into a temporary folder and returns its path.
func buildNode(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "carobmill")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// freeAddress returns a loopback address with a free port. It does not keep the port open.
// The port is below the ephemeral range, and random because other tests choose ports at
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
		if !reservedAddresses[addr] {
			reservedAddresses[addr] = true
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// reservedAddresses holds the addresses that freeAddress has returned. Without it two nodes
// could receive the same address before either listens on it.
var reservedAddresses = make(map[string]bool)

// startProcess starts a node. limits is the limits section of its settings, empty for the defaults.
func startProcess(t *testing.T, binary, platformURL string, sheet *pb.Sheet, n int, seeds []string, limits string) *process {
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
%s`, n, sheet.GetFleet(), sheet.GetDataCentres()[n%4].GetName(), address, freeAddress(t), seeds[n], platformURL, strings.Join(seeds, `", "`), limits)
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
	return &process{cmd: cmd, callerAddress: address}
}

func (p *process) sendQuery(ctx context.Context) (*caller.Answer, error) {
	answer, _, err := deployment.Query(ctx, p.callerAddress, &caller.QueryRequest{
		Service: "timing",
		Class:   "checkpoint",
		Query:   json.RawMessage(`{"rider":7}`),
	})
	return answer, err
}

// waitForComplete waits until the node returns a complete answer.
func (p *process) waitForComplete(t *testing.T) {
	t.Helper()
	err := deployment.Wait(t.Context(), waitTimeout, func() string {
		answer, err := p.sendQuery(t.Context())
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

// deploy starts the stand-ins and the given number of nodes, spread over the data centres,
// and waits until each node returns a complete answer.
func deploy(t *testing.T, nodes int) (*deployment.Deployment, []*process) {
	t.Helper()
	return deployWithLimits(t, nodes, "")
}

// deployWithLimits is deploy with the limits section of the nodes' settings.
func deployWithLimits(t *testing.T, nodes int, limits string) (*deployment.Deployment, []*process) {
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
	var processes []*process
	for n := range nodes {
		processes = append(processes, startProcess(t, binary, d.PlatformURL, sheet, n, seeds, limits))
	}
	for _, p := range processes {
		p.waitForComplete(t)
	}
	return d, processes
}

// After one of four node processes is killed, the others return complete answers. On
// SIGTERM, a process answers the request that it has accepted and exits with code 0, also if
// SIGHUP follows during the shutdown.
func TestNodeProcessesServeAfterKillAndShutDownGracefully(t *testing.T) {
	c := qt.New(t)
	_, nodes := deploy(t, 4)
	c.Assert(nodes[3].cmd.Process.Kill(), qt.IsNil)
	for _, p := range nodes[:3] {
		p.waitForComplete(t)
	}
	answered := make(chan *caller.Answer, 1)
	go func() {
		answer, _ := nodes[0].sendQuery(context.Background())
		answered <- answer
	}()
	time.Sleep(time.Millisecond)
	c.Assert(nodes[0].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	c.Assert(nodes[0].cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	answer := <-answered
	c.Assert(answer.Outcome, qt.Equals, query.Complete, qt.Commentf("%+v", answer))
	c.Assert(nodes[0].cmd.Wait(), qt.IsNil, qt.Commentf("exit status after SIGTERM"))
}

// Guards against a node that resumes after a pause longer than every timeout, as in a live
// migration of its VM, and acts on stale replica states and claims. The backend servers
// restart cold during the pause. None may be overloaded, no request with an idempotency
// key may run twice, and the resumed node returns complete answers.
func TestPausedNodeResumesWithoutOverloadOrDuplicateExecution(t *testing.T) {
	c := qt.New(t)
	d, nodes := deploy(t, 8)
	paused := nodes[0]
	c.Assert(paused.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	// Queries to the paused node are pending when it resumes.
	queriesDone := make(chan struct{})
	go func() {
		defer close(queriesDone)
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			_, _ = paused.sendQuery(ctx)
			cancel()
		}
	}()
	for _, server := range d.Backends {
		server.Restart()
	}
	for n := range 20 {
		key := fmt.Sprintf("fee-%d", n)
		first := nodes[1+n%7].execute(t, key)
		second := nodes[1+(n+3)%7].execute(t, key)
		// The outcome "unknown" is allowed while the first outcome is not recorded yet.
		if first == query.Complete && second == query.Refused {
			c.Errorf("request with key %s ran, but its repetition was refused as not run", key)
		}
	}
	<-queriesDone
	c.Assert(paused.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	for _, p := range nodes {
		p.waitForComplete(t)
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
	c.Check(len(runs) >= 10, qt.IsTrue, qt.Commentf("only %d of 20 requests ran", len(runs)))
	for digest, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("request with digest %s", digest))
	}
}

// execute submits a non-idempotent request with an idempotency key and returns its outcome.
func (p *process) execute(t *testing.T, key string) query.Outcome {
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
	resp, err := http.Post("http://"+p.callerAddress+"/v1/execute", "application/json", bytes.NewReader(body))
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

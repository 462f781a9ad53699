package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceSeconds is grace_s of the site.
const graceSeconds = 6

// zones are those of the site's machines, in its order.
var zones = []string{"stgo-a", "stgo-a", "stgo-a", "stgo-b", "stgo-b", "valpo-a", "rancagua-a", "rancagua-a"}

// node is one node of the project, run as a separate process with the command and the template
// of the deploy file.
type node struct {
	name, zone, front, ready, settings, log string

	// mu guards the fields below.
	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// reserved holds the addresses that freeAddress has returned.
var reserved sync.Map

// freeAddress returns a loopback address with an unused port below the ports of outgoing
// connections.
func freeAddress() (string, error) {
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		_ = l.Close()
		if _, taken := reserved.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
	return "", errors.New("no free port found in 200 tries")
}

func newNode(folder, name, zone, storeAddr string, capacity float64) (*node, error) {
	n := &node{name: name, zone: zone, settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log")}
	var peer string
	for _, address := range []*string{&n.front, &n.ready, &peer} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return nil, err
	}
	ip, port, _ := strings.Cut(peer, ":")
	return n, os.WriteFile(n.settings, []byte(render(string(template), fields{
		"node_name": name, "ip": ip, "zone": zone, "region": "cl-central", "port_range": []any{port, port},
		"listen":   map[string]any{"front": n.front, "ready": n.ready},
		"limits":   map[string]any{"cpu_share": capacity, "cores": 1, "ram_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"platform": map[string]any{"addr": storeAddr, "writes_per_s": 400, "reads_per_s": 2000},
		"bounds": map[string]any{
			"retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10, "grace_s": graceSeconds, "drain_ms": 3000,
		},
	})), 0o600)
}

// processes holds the started processes, so that an early end of the case leaves none behind.
var processes struct {
	// mu guards the fields below, and is held while a process is started.
	mu      sync.Mutex
	running map[*os.Process]bool
	ended   bool
}

// starts passes commands to the thread that starts them.
var starts = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		// Pdeathsig follows the thread that starts the process, so that it must last.
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// startOnOneThread starts a command on a thread that lasts as long as this process.
func startOnOneThread(cmd *exec.Cmd) error {
	result := make(chan error)
	starts() <- func() { result <- cmd.Start() }
	return <-result
}

var errEnded = errors.New("the case has ended")

// killProcesses kills all processes, and lets no other one start.
func killProcesses() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	processes.ended = true
	for p := range processes.running {
		_ = p.Kill()
	}
}

// start starts the process.
func (n *node) start() error {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	if processes.ended {
		return errEnded
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/carobmill", "run", "-settings", n.settings)
	cmd.Env = append(os.Environ(), "CAROBMILL_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// A case that is killed can't end its nodes itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneThread(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = cmd, exited
	if processes.running == nil {
		processes.running = make(map[*os.Process]bool)
	}
	processes.running[cmd.Process] = true
	go func() {
		_ = cmd.Wait()
		processes.mu.Lock()
		delete(processes.running, cmd.Process)
		processes.mu.Unlock()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// kill ends the process at once.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startNodes starts a node in each of the given zones and waits until all are ready.
func startNodes(folder, storeAddr string, in []string, capacity float64) ([]*node, error) {
	var nodes []*node
	for i, zone := range in {
		n, err := newNode(folder, fmt.Sprintf("front-%s-%d", zone, i+1), zone, storeAddr, capacity)
		if err != nil {
			return nodes, err
		}
		if err := n.start(); err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			return nodes, nil
		}
		if time.Now().After(until) {
			return nodes, fmt.Errorf("only %d of %d nodes are ready", ready, len(nodes))
		}
	}
}

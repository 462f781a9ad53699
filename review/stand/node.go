package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is one process of the system.
type node struct {
	name, zone          string
	caller, admin, peer string
	settings, log       string
	program             string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// reserved holds the addresses that freeAddress has returned.
var reserved = make(map[string]bool)

// freeAddress returns a loopback address with an unused port below the ephemeral ports, which
// outgoing connections use.
func freeAddress() (string, error) {
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		_ = l.Close()
		if !reserved[address] {
			reserved[address] = true
			return address, nil
		}
	}
	return "", errors.New("no free port found in 200 tries")
}

// newNode writes the settings of a node: those that deploy/settings.yaml.tmpl renders for a small
// deployment.
func newNode(dir, program, name, zone, storeURL string) (*node, error) {
	n := &node{name: name, zone: zone, program: program, exited: make(chan struct{})}
	for _, address := range []*string{&n.caller, &n.admin, &n.peer} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	n.settings = filepath.Join(dir, name+".yaml")
	n.log = filepath.Join(dir, name+".log")
	text := fmt.Sprintf(`node: %q
fleet: carobmill
data_centre: %q
caller_address: %q
admin_address: %q
peer_address: %q
platform_url: %q
log:
  level: info
  format: json
timing:
  balancer_lag_ms: 3300
forwarding:
  extra_ratio: 0.2
  extra_slack: 56
  extra_window_s: 10
  grace_s: 6
  capacity: 0.4
  link_mbps: 1000
  news_bound_ms: 3000
  store_reads_per_s: 2000
`, name, zone, n.caller, n.admin, n.peer, storeURL)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(n.program, "run", "-settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	// The kernel ends the process with this one.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	go func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// ready asks the node as the balancer of the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitReady(nodes []*node) bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range nodes {
			all = all && n.ready()
		}
		if all {
			return true
		}
	}
	return false
}

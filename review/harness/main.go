package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/carobmill/carobmill/platform/platformtest"
)

// exitCannotRun is the exit code of a case that could not run.
const exitCannotRun = 2

// deployment is the system under test with its stand-ins.
type deployment struct {
	folder   string
	record   *record
	store    *platformtest.Store
	nodes    []*node
	replicas []*replica
	// trouble is unset for a run without the disruption.
	trouble bool
	seed    uint64
}

// storeAddr returns the address of the store.
func (d *deployment) storeAddr() string { return d.store.URL()[len("http://"):] }

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	for _, r := range d.replicas {
		r.stop()
	}
	d.store.Close()
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, goalMs, attempts int
}

const host = "enrol.example"

// configure writes a configuration.
func (d *deployment) configure(version int, maxConns int, services []string, routes ...route) {
	var list, specs []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeoutMs, "goal_ms": r.goalMs, "priority": 2, "attempts": r.attempts,
		})
	}
	for _, s := range services {
		specs = append(specs, map[string]any{"name": s, "health_path": "/healthz", "max_conns": maxConns, "proto": "h1", "warmup_s": 3.0})
	}
	d.store.Put(wire["configkey"], map[string]any{
		"version": version, "routes": list, "services": specs,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

var cases = map[string]func(*deployment) (rule string, violations []string, err error){
	"copied-rejection": copiedRejection,
	"late-request":     lateRequest,
}

func main() {
	os.Exit(run())
}

// maxDuration bounds a case.
const maxDuration = 117 * time.Second

// endEarly ends the case at a signal, or when it takes too long, and all its processes with it.
func endEarly(folder string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGQUIT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		killProcesses()
		_ = os.RemoveAll(folder)
		fmt.Fprintln(os.Stderr, "ended early")
		os.Exit(exitCannotRun)
	}()
}

// run runs the case that the first argument names and writes its record to the second.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitCannotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	endEarly(folder)
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	d := &deployment{folder: folder, record: rec, store: platformtest.NewStore(), trouble: os.Getenv("TROUBLE") != "0", seed: 1}
	if s := os.Getenv("SEED"); s != "" {
		if _, err := fmt.Sscan(s, &d.seed); err != nil {
			fmt.Fprintln(os.Stderr, "SEED:", err)
			return exitCannotRun
		}
	}
	rule, violations, err := cases[os.Args[1]](d)
	d.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		rec.note("could not run: %v", err)
		rec.close(rule, nil)
		return exitCannotRun
	}
	return rec.close(rule, violations)
}

// Command stand plays the cases of this review: it starts nodes as processes, and stand-ins for
// clients, replicas and the store on loopback, and checks one rule.
//
//	stand -case N -program target/carobmill -dir review/N
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/carobmill/carobmill/platform/platformtest"
)

// stage is what a case runs on.
type stage struct {
	rec   *record
	store *platformtest.Store
	// starting is held while a node is started, and by abort, after which none is started.
	starting sync.Mutex
	nodes    []*node
	trouble  bool
	run      uint32
	program  string
	temp     string
	ends     []func()
	// storeURLs holds the store's URL for the first nodes, where it is not that of the store.
	storeURLs []string
	clients   map[string]*client
}

// client returns the client that keeps connections to an address.
func (s *stage) client(address string) *client {
	if s.clients == nil {
		s.clients = make(map[string]*client)
	}
	if s.clients[address] == nil {
		s.clients[address] = newClient(address, "hufi27.example")
	}
	return s.clients[address]
}

func (s *stage) onEnd(f func()) { s.ends = append(s.ends, f) }

// startNodes starts a node in each zone and waits until all are ready.
func (s *stage) startNodes(zones ...string) error {
	for i, zone := range zones {
		url := s.store.URL()
		if i < len(s.storeURLs) {
			url = s.storeURLs[i]
		}
		n, err := newNode(s.temp, s.program, fmt.Sprintf("front-%s-%d", zone, i+1), zone, url)
		if err != nil {
			return err
		}
		s.starting.Lock()
		s.nodes = append(s.nodes, n)
		err = n.start()
		s.starting.Unlock()
		if err != nil {
			return err
		}
		s.onEnd(n.kill)
	}
	if !waitReady(s.nodes) {
		return fmt.Errorf("the nodes are not ready within 15 s")
	}
	return nil
}

func (s *stage) close() {
	for i := len(s.ends) - 1; i >= 0; i-- {
		s.ends[i]()
	}
	s.store.Close()
}

// maxTime ends a case that hangs. A script may take 120 s.
const maxTime = 118 * time.Second

// abort ends all nodes and this process, as a case that could not run.
func (s *stage) abort(reason string) {
	s.starting.Lock()
	s.rec.log("%s", reason)
	for _, n := range s.nodes {
		n.kill()
	}
	_ = os.RemoveAll(s.temp)
	fmt.Fprintln(os.Stderr, reason)
	os.Exit(2)
}

func main() { os.Exit(play()) }

func play() int {
	number := flag.Int("case", 0, "the case")
	program := flag.String("program", "target/carobmill", "the program of a node")
	dir := flag.String("dir", "", "the folder of record.txt")
	flag.Parse()
	play, ok := cases[*number]
	if !ok || *dir == "" {
		flag.Usage()
		return 2
	}
	program2, err := filepath.Abs(*program)
	if err != nil {
		return fail(err)
	}
	temp, err := os.MkdirTemp("", "stand")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(temp) }()
	rec, err := newRecord(*dir)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = rec.file.Close() }()
	s := &stage{
		rec: rec, store: platformtest.NewStore(), trouble: os.Getenv("TROUBLE") != "0", run: rand.Uint32(),
		program: program2, temp: temp,
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGQUIT)
	go func() {
		select {
		case got := <-interrupted:
			s.abort("ended by " + got.String())
		case <-time.After(maxTime):
			s.abort("not finished after " + maxTime.String())
		}
	}()
	rec.log("case %d, trouble %v", *number, s.trouble)
	if err := play.run(s); err != nil {
		rec.log("the case could not run: %v", err)
		return fail(err)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, n := range s.nodes {
			data, _ := os.ReadFile(n.log)
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), n.name+".log"), data, 0o600)
		}
	}
	return play.check(rec)
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// playable is a case: what it does, and the check of its rule.
type playable struct {
	run   func(*stage) error
	check func(*record) int
}

var cases = map[int]playable{
	1: {case1, checkOnce},
	2: {case2, checkLost},
	3: {case3, checkApplied},
}

// checkOnce checks the rules TWICE and REFUSED for requests that may run once at most.
func checkOnce(r *record) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	twice, refused, succeeded := 0, 0, 0
	for _, id := range r.order {
		runs, status := r.runs[id], r.answers[id]
		if status == 200 {
			succeeded++
		}
		if len(runs) > 1 {
			twice++
			r.logLocked("TWICE    %s ran %d times: %v, answered %d", id, len(runs), runs, status)
		}
		if promise(status) && len(runs) > 0 {
			refused++
			r.logLocked("REFUSED  %s answered %d and ran %d times: %v", id, status, len(runs), runs)
		}
	}
	r.logLocked("%d requests, %d succeeded, %d ran twice, %d refused although they ran", len(r.order), succeeded, twice, refused)
	fmt.Printf("%d requests, %d succeeded, %d ran twice, %d refused although they ran\n", len(r.order), succeeded, twice, refused)
	switch {
	case succeeded == 0:
		return 2
	case twice+refused > 0:
		return 1
	}
	return 0
}

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and judges it at the end. It is safe for
// concurrent use.
type record struct {
	// mu guards the fields below.
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
	// runs holds the runs of each request and answers its final status; 0 is a closed connection.
	runs    map[string][]execution
	answers map[string]answer
	sent    map[string]time.Time
	nodes   map[string]string
	counts  map[string]int
}

// execution is the start of a request at a replica.
type execution struct {
	at      time.Time
	replica string
	// ended is when the replica was done with it; zero while it works.
	ended time.Time
}

// answer is the end of a request at its client.
type answer struct {
	at     time.Time
	status int
	body   string
	seal   string
	header map[string][]string
	err    error
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file: f, out: bufio.NewWriter(f), start: time.Now(), runs: make(map[string][]execution),
		answers: make(map[string]answer), sent: make(map[string]time.Time), counts: make(map[string]int), nodes: make(map[string]string),
	}, nil
}

// note writes one line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *record) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *record) recordSent(id, node, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = time.Now()
	r.nodes[id] = node
	r.noteLocked("sent     %s to %s: %s", id, node, what)
}

func (r *record) recordRun(id, replica string) (index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], execution{at: time.Now(), replica: replica})
	r.noteLocked("run      %s at %s", id, replica)
	return len(r.runs[id]) - 1
}

func (r *record) recordRunEnd(id string, index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id][index].ended = time.Now()
}

func (r *record) recordAnswer(id string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.at = time.Now()
	r.answers[id] = a
	r.counts[fmt.Sprintf("answers with status %d", a.status)]++
	if a.err != nil {
		r.noteLocked("answered %s: none, %v", id, a.err)
		return
	}
	r.noteLocked("answered %s: %d seal %q", id, a.status, a.seal)
}

// close writes the counts and the violations, and returns the exit code of the case.
func (r *record) close(rule string, violations []string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for what, n := range r.counts {
		r.noteLocked("count    %s: %d", what, n)
	}
	r.noteLocked("count    requests sent: %d, run: %d", len(r.sent), len(r.runs))
	for _, v := range violations {
		r.noteLocked("BROKEN   %s: %s", rule, v)
	}
	r.noteLocked("result   %d violations of %s", len(violations), rule)
	_ = r.out.Flush()
	_ = r.file.Close()
	fmt.Printf("%d violations of %s, %d requests\n", len(violations), rule, len(r.sent))
	for _, v := range violations[:min(len(violations), 5)] {
		fmt.Println("  " + v)
	}
	if len(violations) > 0 {
		return 1
	}
	return 0
}

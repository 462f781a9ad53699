package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record collects what was sent, answered and run, for the check and for record.txt.
type record struct {
	begin time.Time
	file  *os.File

	mu      sync.Mutex
	runs    map[string][]string
	answers map[string]int
	order   []string
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, runs: make(map[string][]string), answers: make(map[string]int)}, nil
}

func (r *record) logLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// log writes one line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

// sent records that a client has sent a request.
func (r *record) sent(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = append(r.order, id)
	r.logLocked("sent     %s %s", id, what)
}

// ran records that a replica has begun to work on a request.
func (r *record) ran(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], replica)
	r.logLocked("ran      %s at %s", id, replica)
}

// answered records the answer that a client has received; status 0 is a connection that ended.
func (r *record) answered(id string, status int, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
	r.logLocked("answered %s %d %s", id, status, note)
}

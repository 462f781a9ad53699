package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/carobmill/carobmill/platform/platformtest"
)

// replica is a stand-in of a replica. It works on some requests at once, queues a few more and
// rejects the rest as not run.
type replica struct {
	id, service, zone string
	slots, queue      int
	maxConns          int
	// work returns the time that a request takes.
	work func(*http.Request) time.Duration
	// copies returns the delay of a second copy of an answer; 0 for none. May be nil.
	copies func() time.Duration
	record *record

	listener net.Listener
	born     int64
	sem      chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	conns   map[net.Conn]bool
	waiting int
	running int
}

func (r *replica) start(store *platformtest.Store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener, r.born, r.conns = l, time.Now().UnixMilli(), make(map[net.Conn]bool)
	r.sem = make(chan struct{}, r.slots)
	r.register(store, "ready")
	go r.accept()
	return nil
}

func (r *replica) register(store *platformtest.Store, state string) {
	store.Put("servers/"+r.id, map[string]any{
		"service": r.service, "addr": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": state, wire["cold"]: 0, "seq": 1, "born": r.born,
	})
}

func (r *replica) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		full := len(r.conns) >= r.maxConns
		if !full {
			r.conns[c] = true
		}
		r.mu.Unlock()
		if full {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go r.serve(c)
	}
}

// replicaConn is one connection. Its writes are whole answers.
type replicaConn struct {
	net.Conn
	// mu guards the fields below, and is held while an answer is written.
	mu sync.Mutex
	// outstanding is set while a request waits for its answer.
	outstanding bool
	// copy is a second copy of an earlier answer that is due at the point where the next
	// answer is expected.
	copy []byte
	of   string
}

func (r *replica) serve(c net.Conn) {
	rc := &replicaConn{Conn: c}
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		rc.begin(r)
		if !r.answer(rc, req, body) {
			return
		}
	}
}

// begin records that an answer is expected, and sends a copy that is due.
func (rc *replicaConn) begin(r *replica) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.outstanding = true
	rc.sendCopy(r)
}

// sendCopy sends a copy that is due while an answer is expected. rc.mu is held.
func (rc *replicaConn) sendCopy(r *replica) {
	if rc.copy == nil || !rc.outstanding {
		return
	}
	r.record.note("copy     of the answer to %s from %s", rc.of, r.id)
	r.record.count("second copies of an answer")
	_, _ = rc.Write(rc.copy)
	rc.copy = nil
}

// reply sends an answer, and schedules a second copy of it.
func (r *replica) reply(rc *replicaConn, id string, status int, header, body string) bool {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sKeep-Alive: timeout=15\r\n", status, http.StatusText(status), header)
	if id != "" {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", wire["request"], id)
	}
	r.mu.Lock()
	_, _ = fmt.Fprintf(&b, "%s: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s", wire["load"], r.running, r.waiting, r.slots, len(body), body)
	r.mu.Unlock()
	rc.mu.Lock()
	_, err := rc.Write(b.Bytes())
	rc.outstanding = false
	rc.mu.Unlock()
	if r.copies != nil && err == nil {
		if after := r.copies(); after > 0 {
			time.AfterFunc(after, func() {
				rc.mu.Lock()
				defer rc.mu.Unlock()
				rc.copy, rc.of = b.Bytes(), id
				rc.sendCopy(r)
			})
		}
	}
	return err == nil
}

// answer handles one request and reports whether the connection stays open.
func (r *replica) answer(rc *replicaConn, req *http.Request, body []byte) bool {
	id := req.Header.Get(wire["request"])
	notRun := wire["notrun"] + ": 1\r\n"
	if expected := req.Header.Get(wire["instance"]); expected != "" && expected != r.id {
		return r.reply(rc, id, http.StatusMisdirectedRequest, notRun+wire["self"]+": "+r.id+"\r\n", "")
	}
	if id == "" {
		return r.reply(rc, id, http.StatusBadRequest, notRun, "")
	}
	limit := 30 * time.Second
	if ms, err := strconv.ParseFloat(req.Header.Get(wire["deadline"]), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	r.mu.Lock()
	full := r.running >= r.slots && r.waiting >= r.queue
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		r.record.count("rejections of a full replica")
		r.record.note("rejected %s at %s", id, r.id)
		return r.reply(rc, id, http.StatusServiceUnavailable, notRun, "")
	}
	select {
	case r.sem <- struct{}{}:
	case <-timeout.C:
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
		return r.reply(rc, id, http.StatusServiceUnavailable, notRun, "")
	}
	r.mu.Lock()
	r.waiting--
	r.running++
	r.mu.Unlock()
	index := r.record.recordRun(id, r.id)
	status := http.StatusOK
	worked := time.NewTimer(r.work(req))
	defer worked.Stop()
	select {
	case <-worked.C:
	case <-timeout.C:
		status = http.StatusGatewayTimeout
	}
	r.record.recordRunEnd(id, index)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	<-r.sem
	return r.reply(rc, id, status, wire["seal"]+": seal."+r.id+"."+id+"\r\n", "ran "+id+" with "+string(body))
}

// spread returns a time around a mean.
func spread(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + rng.Float64()))
}

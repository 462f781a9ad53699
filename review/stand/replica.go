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

// replica is a stand-in of one replica: it works on slots requests at a time, queues some more,
// refuses the others as not run, and drops a request whose connection closes.
type replica struct {
	id, service, zone string
	slots, queue      int
	maxConns          int
	work              func() time.Duration
	rec               *record
	store             *platformtest.Store
	// quiet replicas register once and write no heartbeats.
	quiet    bool
	listener net.Listener
	born     int64

	mu       sync.Mutex
	running  int
	waiting  int
	conns    int
	seq      int
	stopped  bool
	free     chan struct{}
	lateRate float64
	lates    int
}

func (r *replica) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener = l
	r.born = time.Now().UnixMilli()
	r.free = make(chan struct{}, r.slots)
	for range r.slots {
		r.free <- struct{}{}
	}
	go r.accept()
	r.register()
	if !r.quiet {
		go r.heartbeat()
	}
	return nil
}

// register writes the replica's entry into the store.
func (r *replica) register() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "addr": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", names["cold"]: 0, "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	r.store.Put(names["servers"]+r.id, entry)
}

const heartbeatInterval = 1200 * time.Millisecond

func (r *replica) heartbeat() {
	for {
		time.Sleep(heartbeatInterval)
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		r.register()
	}
}

func (r *replica) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	_ = r.listener.Close()
}

// setLate sets the share of answers of which a second copy arrives late, at the point where the
// next response on the connection is expected.
func (r *replica) setLate(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateRate = share
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		over := r.conns >= r.maxConns
		if !over {
			r.conns++
		}
		r.mu.Unlock()
		if over {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go func() {
			r.serve(c)
			_ = c.Close()
			r.mu.Lock()
			r.conns--
			r.mu.Unlock()
		}()
	}
}

// serve handles the requests of one connection, one at a time.
func (r *replica) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	// late is the second copy of an answer that is still to come.
	var late []byte
	next := peek(reader)
	for {
		if err := <-next; err != nil {
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		next = peek(reader)
		answer, ok := r.answer(req, body, next)
		if !ok {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		r.mu.Lock()
		if rand.Float64() < r.lateRate {
			late = answer
			r.lates++
			r.rec.log("late     %s: a second copy of the answer %q will follow", req.Header.Get(names["request_id"]), firstLine(answer))
		}
		r.mu.Unlock()
	}
}

func firstLine(answer []byte) string {
	line, _, _ := bytes.Cut(answer, []byte("\r\n"))
	return string(line)
}

// peek reports when the next request begins, or the connection has ended.
func peek(reader *bufio.Reader) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := reader.Peek(1)
		done <- err
	}()
	return done
}

// answer handles one request. It returns false if the connection has ended meanwhile.
func (r *replica) answer(req *http.Request, body []byte, next chan error) ([]byte, bool) {
	id := req.Header.Get(names["request_id"])
	if req.URL.Path == "/healthz" {
		return r.response(200, id, names["instance"]+": "+r.id+"\r\n", ""), true
	}
	switch {
	case req.Header.Get(names["expect"]) != r.id:
		return r.response(421, id, names["not_run"]+": 1\r\n", ""), true
	case id == "":
		return r.response(400, id, names["not_run"]+": 1\r\n", ""), true
	}
	ms, err := strconv.ParseFloat(req.Header.Get(names["deadline"]), 64)
	if err != nil {
		ms = 60000
	}
	limit := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer limit.Stop()
	if !r.acquire(limit, next) {
		return r.response(503, id, names["not_run"]+": 1\r\n", ""), true
	}
	defer r.release()
	r.rec.ran(id, r.id)
	work := time.NewTimer(r.work())
	defer work.Stop()
	seal := names["seal"] + ": " + r.id + "." + id + "\r\n"
	for {
		select {
		case err := <-next:
			if err != nil {
				return nil, false
			}
			next <- nil
			<-work.C
			return r.response(200, id, seal, "done "+id), true
		case <-limit.C:
			return r.response(504, id, seal, "time limit"), true
		case <-work.C:
			return r.response(200, id, seal, "done "+id), true
		}
	}
}

// acquire takes a slot, or a place in the queue until there is one.
func (r *replica) acquire(limit *time.Timer, next chan error) bool {
	r.mu.Lock()
	if r.waiting >= r.queue && len(r.free) == 0 {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	for {
		select {
		case <-r.free:
			r.mu.Lock()
			r.running++
			r.mu.Unlock()
			return true
		case <-limit.C:
			return false
		case err := <-next:
			next <- err
			if err != nil {
				return false
			}
			// The next request is there already; it is read once this one is answered.
			next = nil
		}
	}
}

func (r *replica) release() {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	r.free <- struct{}{}
}

func (r *replica) response(status int, id, header, body string) []byte {
	r.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
	r.mu.Unlock()
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), names["request_id"], id, names["load"], load, header, len(body), body))
}

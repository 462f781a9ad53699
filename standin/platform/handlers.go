package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const revisionHeader = "Platform-Revision"

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("after") {
		s.watch(w, r)
		return
	}
	if !s.applyFaults(w, r, func(c *Calls) { c.Reads++ }) {
		return
	}
	s.mu.Lock()
	drop := takeFault(&s.faults.dropReads)
	e, ok := s.read(r.URL.Query().Get("key"))
	s.mu.Unlock()
	if drop {
		dropConnection()
	}
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeEntry(w, e)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r, func(c *Calls) { c.Watches++ }) {
		return
	}
	after, ok := uintParam(w, r, "after")
	if !ok {
		return
	}
	wait, ok := uintParam(w, r, "wait_ms")
	if !ok {
		return
	}
	limit := min(time.Duration(wait)*time.Millisecond, maxWatchWait)
	timeout := time.After(limit)
	for {
		s.mu.Lock()
		e, found := s.read(r.URL.Query().Get("key"))
		changed, down := s.changed, s.faults.down
		s.mu.Unlock()
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case found && e.revision > after:
			writeEntry(w, e)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the entry that a reader sees, which may be stale. Caller holds mu.
func (s *Server) read(key string) (entry, bool) {
	s.expireLeases(time.Now())
	keys := s.keys
	if s.staleKeys != nil {
		keys = s.staleKeys
	}
	e, ok := keys[key]
	return e, ok
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, "body cut off", http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r, func(c *Calls) { c.Writes++ }) {
		return
	}
	if len(value) > MaxValueBytes {
		http.Error(w, "value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	revision, ok := uintParam(w, r, "revision")
	if !ok {
		return
	}
	var leaseID uint64
	if r.URL.Query().Has("lease") {
		if leaseID, ok = uintParam(w, r, "lease"); !ok {
			return
		}
	}
	written, status, dropReply := s.compareAndSwap(r.URL.Query().Get("key"), revision, leaseID, value)
	switch {
	case dropReply:
		dropConnection()
	case status != http.StatusOK:
		http.Error(w, http.StatusText(status), status)
	default:
		writeEntry(w, entry{revision: written})
	}
}

// compareAndSwap writes a value if the key is at the given revision. dropReply is
// true if an injected fault requires breaking the connection without a reply.
func (s *Server) compareAndSwap(key string, revision, leaseID uint64, value []byte) (written uint64, status int, dropReply bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if takeFault(&s.faults.dropWrites) {
		return 0, 0, true
	}
	s.expireLeases(time.Now())
	if leaseID != 0 && s.leases[leaseID] == nil {
		return 0, http.StatusNotFound, false
	}
	if s.keys[key].revision != revision {
		return 0, http.StatusConflict, takeFault(&s.faults.dropWriteReplies)
	}
	s.revision++
	s.keys[key] = entry{value: value, revision: s.revision, lease: leaseID}
	s.notify()
	return s.revision, http.StatusOK, takeFault(&s.faults.dropWriteReplies)
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r, func(c *Calls) { c.Leases++ }) {
		return
	}
	ttl, ok := uintParam(w, r, "ttl_ms")
	if !ok {
		return
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	l := &lease{ttl: time.Duration(ttl) * time.Millisecond}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	s.mu.Unlock()
	writeJSON(w, struct {
		ID uint64 `json:"id"`
	}{id})
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(_ uint64, l *lease) { l.expires = time.Now().Add(l.ttl) })
}

func (s *Server) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(id uint64, _ *lease) { s.deleteLease(id) })
}

// withLease calls apply with mu held if the lease exists and has not expired.
func (s *Server) withLease(w http.ResponseWriter, r *http.Request, apply func(uint64, *lease)) {
	if !s.applyFaults(w, r, func(c *Calls) { c.Leases++ }) {
		return
	}
	id, ok := uintParam(w, r, "id")
	if !ok {
		return
	}
	s.mu.Lock()
	s.expireLeases(time.Now())
	l := s.leases[id]
	if l != nil {
		apply(id, l)
	}
	s.mu.Unlock()
	if l == nil {
		http.Error(w, "no such lease", http.StatusNotFound)
	}
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r, func(c *Calls) { c.VMLists++ }) {
		return
	}
	s.mu.Lock()
	visible := s.lists[0].vms
	for _, l := range s.lists[1:] {
		if time.Since(l.setAt) >= s.vmLag {
			visible = l.vms
		}
	}
	s.mu.Unlock()
	writeJSON(w, struct {
		VMs []VM `json:"vms"`
	}{visible})
}

func writeEntry(w http.ResponseWriter, e entry) {
	w.Header().Set(revisionHeader, strconv.FormatUint(e.revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(e.value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func uintParam(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		http.Error(w, name+" must be a whole number", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

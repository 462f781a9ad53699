package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Paths and headers of the contract.
const (
	pathQuery   = "/v1/query"
	pathExecute = "/v1/execute"
	pathStatus  = "/v1/status"

	headerShard       = "Carobmill-Shard"
	headerGeneration  = "Carobmill-Generation"
	headerSnapshot    = "Carobmill-Snapshot"
	headerSnapshots   = "Carobmill-Snapshots"
	headerAttempt     = "Carobmill-Attempt"
	headerRequestID   = "Carobmill-Request-Id"
	headerIncarnation = "Carobmill-Incarnation"
	headerLoad        = "Carobmill-Load"
	headerState       = "Carobmill-State"
	headerNotRun      = "Carobmill-Not-Run"
)

// maxBody bounds a request body in bytes.
const maxBody = 1 << 20

// Result is the body of a successful reply.
type Result struct {
	Shard      string `json:"shard"`
	Replica    string `json:"replica"`
	Generation uint64 `json:"generation"`
	Snapshot   uint64 `json:"snapshot"`
	// Digest of the request body, so that a caller can tell that the answer is
	// its own.
	Digest string `json:"digest"`
	// Run counts the runs of this request id; 0 for queries.
	Run int `json:"run,omitempty"`
}

// Digest returns the digest that a Result gives for a request body.
func Digest(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// ServeHTTP answers queries, alone and in batches, executes and status requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	switch r.URL.Path {
	case pathStatus:
		s.mu.Lock()
		s.counts.Statuses++
		s.mu.Unlock()
		s.stateHeaders(w.Header())
		w.WriteHeader(http.StatusOK)
	case pathQuery, pathExecute:
		s.serveWork(w, r)
	case pathBatch:
		s.serveBatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	if s.takeFault(FaultResetBeforeRun) {
		abort(r)
	}
	if !s.enter() {
		s.openReset()
		s.leave()
		panic(http.ErrAbortHandler)
	}
	// What the request occupies is free before its reply can be seen.
	job, status := s.perform(r, body)
	s.leave()
	switch status {
	case statusGone:
	case http.StatusOK:
		s.reply(w, r, job)
	default:
		s.refuse(w, r, status)
	}
}

// statusGone means that the caller has gone and nothing is answered.
const statusGone = 0

// perform runs the request and returns the status to answer with.
func (s *Server) perform(r *http.Request, body []byte) (Result, int) {
	if status := s.refusal(); status != 0 {
		return Result{}, status
	}
	if status := s.acquireSlot(r); status != http.StatusOK {
		return Result{}, status
	}
	defer func() { <-s.slots }()
	job, ok := s.begin(r, body)
	if !ok {
		return Result{}, http.StatusGone
	}
	if !s.work(r) {
		return Result{}, statusGone
	}
	s.warmUp()
	return job, http.StatusOK
}

// refusal returns the status of a refusal before any work, or 0.
func (s *Server) refusal() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		s.counts.Refused++
		return http.StatusServiceUnavailable
	case s.shedding:
		s.counts.Shed++
		return http.StatusTooManyRequests
	}
	return 0
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int) {
	s.stateHeaders(w.Header())
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	s.spoil(w.Header())
	w.Header().Set(headerNotRun, "true")
	w.WriteHeader(status)
}

// acquireSlot waits for a slot. It returns another status than 200 when the
// queue is full or the caller has gone.
func (s *Server) acquireSlot(r *http.Request) int {
	select {
	case s.slots <- struct{}{}:
		return http.StatusOK
	default:
	}
	s.mu.Lock()
	full := s.opts.Queue >= 0 && s.waiting >= s.opts.Queue
	if full {
		s.counts.Shed++
	} else {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return http.StatusTooManyRequests
	}
	status := statusGone
	select {
	case s.slots <- struct{}{}:
		status = http.StatusOK
	case <-r.Context().Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if status == statusGone {
		s.counts.Cancelled++
	}
	return status
}

// begin records that the request runs. It returns false when the snapshot or
// the shard is not held.
func (s *Server) begin(r *http.Request, body []byte) (Result, bool) {
	snapshot, _ := strconv.ParseUint(r.Header.Get(headerSnapshot), 10, 64)
	generation, _ := strconv.ParseUint(r.Header.Get(headerGeneration), 10, 64)
	shard := r.Header.Get(headerShard)
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot == 0 {
		snapshot = s.newest
	}
	g := s.generationOf(snapshot)
	held := snapshot >= s.oldest && snapshot <= s.newest && g != nil &&
		(generation == 0 || g.ID == generation) && slices.Contains(g.Shards, shard)
	if !held {
		s.counts.NoSnapshot++
		return Result{}, false
	}
	job := Result{
		Shard:      shard,
		Replica:    s.opts.Name,
		Generation: g.ID,
		Snapshot:   snapshot,
		Digest:     Digest(body),
	}
	attempt := r.Header.Get(headerAttempt)
	if s.opts.RecordAttempts {
		s.attempts[attempt] = true
	}
	if r.URL.Path == pathQuery {
		s.counts.Queries++
		return job, true
	}
	id := r.Header.Get(headerRequestID)
	s.counts.Executes++
	s.runs[id]++
	s.runLog = append(s.runLog, Run{RequestID: id, Attempt: attempt, Shard: shard, Digest: job.Digest})
	job.Run = s.runs[id]
	return job, true
}

func (s *Server) generationOf(snapshot uint64) *Generation {
	for i := len(s.generations) - 1; i >= 0; i-- {
		if s.generations[i].FirstSnapshot <= snapshot {
			return &s.generations[i]
		}
	}
	return nil
}

// work holds the slot for the service time. A query stops when its caller goes
// away, an execute does not.
func (s *Server) work(r *http.Request) bool {
	s.mu.Lock()
	took := s.drawTime()
	held := s.held
	s.mu.Unlock()
	gone := r.Context().Done()
	if r.URL.Path == pathExecute {
		gone = nil
	}
	if held != nil {
		select {
		case <-held:
		case <-gone:
			return s.cancelled()
		}
	}
	if took <= 0 {
		return true
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return s.cancelled()
	}
}

func (s *Server) cancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cancelled++
	return false
}

func (s *Server) drawTime() time.Duration {
	st := s.opts.ServiceTime
	took := float64(st.Base)
	if st.Spread > 0 {
		took += s.opts.Rng.Float64() * float64(st.Spread)
	}
	if st.SlowShare > 0 && s.opts.Rng.Float64() < st.SlowShare {
		took *= st.SlowFactor
	}
	if s.cold.active {
		took *= s.opts.Cold.Factor
	}
	return time.Duration(took * s.factor)
}

func (s *Server) reply(w http.ResponseWriter, r *http.Request, job Result) {
	if s.takeFault(FaultLostReply) {
		abort(r)
	}
	if s.takeFault(FaultError) {
		s.stateHeaders(w.Header())
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	s.stateHeaders(h)
	h.Set("Content-Type", "application/json")
	h.Set(headerShard, job.Shard)
	h.Set(headerAttempt, r.Header.Get(headerAttempt))
	h.Set(headerGeneration, strconv.FormatUint(job.Generation, 10))
	h.Set(headerSnapshot, strconv.FormatUint(job.Snapshot, 10))
	s.spoil(h)
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	if s.takeFault(FaultOversizedReply) {
		body = bytes.Repeat([]byte{'x'}, OversizedReplyBytes)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if s.takeFault(FaultTruncatedReply) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abort(r)
	}
	_, _ = w.Write(body)
}

// spoil applies the faults that change the reply's headers.
func (s *Server) spoil(h http.Header) {
	if s.takeFault(FaultWrongAttempt) {
		h.Set(headerAttempt, h.Get(headerAttempt)+"-other")
	}
	if s.takeFault(FaultWrongSnapshot) {
		h.Set(headerSnapshot, "1"+h.Get(headerSnapshot))
	}
	if s.takeFault(FaultMalformedHeaders) {
		h.Set(headerSnapshot, "newest")
		h.Set(headerSnapshots, "9-")
		h.Set(headerLoad, "NaN")
		h.Set(headerState, "lukewarm")
	}
}

// stateHeaders sets the headers that every reply carries.
func (s *Server) stateHeaders(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "warm"
	switch {
	case s.draining:
		state = "draining"
	case s.cold.active && s.cold.announced:
		state = "cold"
	}
	load := s.load
	if !s.loadFixed {
		load = float64(s.inFlight) / float64(s.opts.Slots)
	}
	h.Set(headerSnapshots, fmt.Sprintf("%d-%d", s.oldest, s.newest))
	h.Set(headerIncarnation, s.incarnationLocked())
	h.Set(headerLoad, strconv.FormatFloat(load, 'f', 3, 64))
	h.Set(headerState, state)
}

func (s *Server) openReset() {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.resetAll()
	}
}

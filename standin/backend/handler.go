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

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 1 << 20

// Result is the body of a successful reply.
type Result struct {
	Shard      string `json:"shard"`
	Replica    string `json:"replica"`
	Generation uint64 `json:"generation"`
	Snapshot   uint64 `json:"snapshot"`
	// Digest of the request body. A caller compares digests to detect a reply to
	// another request.
	Digest string `json:"digest"`
	// Run is the number of runs of this request id so far; 0 for queries.
	Run int `json:"run,omitempty"`
}

// Digest returns the digest of a request body as reported in Result.Digest.
func Digest(body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// ServeHTTP serves queries, batches of queries, executes and status requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stall := s.stall
	s.mu.Unlock()
	if stall != nil {
		<-stall
	}
	switch r.URL.Path {
	case pathStatus:
		s.mu.Lock()
		s.counts.Statuses++
		s.mu.Unlock()
		s.setStateHeaders(w.Header())
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	if s.takeFault(FaultResetBeforeRun) {
		abort(r)
	}
	if !s.admit() {
		s.resetListenerConns()
		s.release()
		panic(http.ErrAbortHandler)
	}
	// The slot and the in-flight count are released before the reply is sent.
	// Otherwise a caller within its limit could exceed the limit of the server when it
	// sends the next request on receipt of the reply.
	result, status := s.perform(r, body)
	s.release()
	switch status {
	case statusCancelled:
	case http.StatusOK:
		s.reply(w, r, result)
	default:
		s.reject(w, r, status)
	}
}

// statusCancelled means that the caller cancelled the request. No reply is sent.
const statusCancelled = 0

// perform runs the request and returns the result and the status of the reply.
func (s *Server) perform(r *http.Request, body []byte) (Result, int) {
	if status := s.rejection(); status != 0 {
		return Result{}, status
	}
	if status := s.acquireSlot(r); status != http.StatusOK {
		return Result{}, status
	}
	defer func() { <-s.slots }()
	result, ok := s.recordRun(r, body)
	if !ok {
		return Result{}, http.StatusGone
	}
	if !s.waitServiceTime(r) {
		return Result{}, statusCancelled
	}
	s.warmUp()
	return result, http.StatusOK
}

// rejection returns the status for rejecting a request before it runs, or 0 to
// accept the request.
func (s *Server) rejection() int {
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

// reject replies with the status and marks the request as not run.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int) {
	s.setStateHeaders(w.Header())
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	s.corruptHeaders(w.Header())
	w.Header().Set(headerNotRun, "true")
	w.WriteHeader(status)
}

// acquireSlot waits for a slot. It returns 200 if it acquired one, 429 if the queue
// is full, and statusCancelled if the caller cancelled the request.
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
	status := statusCancelled
	select {
	case s.slots <- struct{}{}:
		status = http.StatusOK
	case <-r.Context().Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if status == statusCancelled {
		s.counts.Cancelled++
	}
	return status
}

// recordRun records a run of the request and returns its result. It returns false
// when the server does not hold the snapshot, the generation or the shard.
func (s *Server) recordRun(r *http.Request, body []byte) (Result, bool) {
	snapshot, _ := strconv.ParseUint(r.Header.Get(headerSnapshot), 10, 64)
	generation, _ := strconv.ParseUint(r.Header.Get(headerGeneration), 10, 64)
	shard := r.Header.Get(headerShard)
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot == 0 {
		snapshot = s.newest
	}
	g := s.generationOf(snapshot)
	available := snapshot >= s.oldest && snapshot <= s.newest && g != nil &&
		(generation == 0 || g.ID == generation) && slices.Contains(g.Shards, shard)
	if !available {
		s.counts.NoSnapshot++
		return Result{}, false
	}
	result := Result{
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
		return result, true
	}
	id := r.Header.Get(headerRequestID)
	s.counts.Executes++
	s.runs[id]++
	s.runLog = append(s.runLog, Run{RequestID: id, Attempt: attempt, Shard: shard, Digest: result.Digest})
	result.Run = s.runs[id]
	return result, true
}

// generationOf returns the last generation that starts at or before the snapshot.
// Caller holds mu.
func (s *Server) generationOf(snapshot uint64) *Generation {
	for i := len(s.generations) - 1; i >= 0; i-- {
		if s.generations[i].FirstSnapshot <= snapshot {
			return &s.generations[i]
		}
	}
	return nil
}

// waitServiceTime waits for the end of a Hold and then for the service time. It
// returns false if the caller cancels a query; an execute continues.
func (s *Server) waitServiceTime(r *http.Request) bool {
	s.mu.Lock()
	serviceTime := s.drawServiceTime()
	hold := s.hold
	s.mu.Unlock()
	cancelled := r.Context().Done()
	if r.URL.Path == pathExecute {
		cancelled = nil
	}
	if hold != nil {
		select {
		case <-hold:
		case <-cancelled:
			return s.countCancelled()
		}
	}
	if serviceTime <= 0 {
		return true
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancelled:
		return s.countCancelled()
	}
}

// countCancelled counts a cancelled request and returns false.
func (s *Server) countCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cancelled++
	return false
}

// drawServiceTime draws the service time of one request. Caller holds mu.
func (s *Server) drawServiceTime() time.Duration {
	st := s.opts.ServiceTime
	d := float64(st.Base)
	if st.Spread > 0 {
		d += s.opts.Rng.Float64() * float64(st.Spread)
	}
	if st.SlowShare > 0 && s.opts.Rng.Float64() < st.SlowShare {
		d *= st.SlowFactor
	}
	if s.cold.active {
		d *= s.opts.Cold.Factor
	}
	return time.Duration(d * s.timeFactor)
}

// reply sends the result, or the injected fault in its place.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, result Result) {
	if s.takeFault(FaultLostReply) {
		abort(r)
	}
	if s.takeFault(FaultError) {
		s.setStateHeaders(w.Header())
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	s.setStateHeaders(h)
	h.Set("Content-Type", "application/json")
	h.Set(headerShard, result.Shard)
	h.Set(headerAttempt, r.Header.Get(headerAttempt))
	h.Set(headerGeneration, strconv.FormatUint(result.Generation, 10))
	h.Set(headerSnapshot, strconv.FormatUint(result.Snapshot, 10))
	s.corruptHeaders(h)
	body, err := json.Marshal(result)
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

// corruptHeaders applies the faults that change the headers of a reply.
func (s *Server) corruptHeaders(h http.Header) {
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

// setStateHeaders sets the headers that every reply carries.
func (s *Server) setStateHeaders(h http.Header) {
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

// resetListenerConns resets every connection if the server is listening.
func (s *Server) resetListenerConns() {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.resetAll()
	}
}

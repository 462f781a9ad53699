package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	pathBatch     = "/v1/batch"
	headerClass   = "Carobmill-Class"
	headerTimeout = "Carobmill-Timeout-Us"
)

// serveBatch runs each item as a single call would be, so that slots, cold
// starts, refusals and faults count the same, and sends each reply when it is
// ready.
func (s *Server) serveBatch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	unknown := s.noBatches
	s.mu.Unlock()
	if unknown {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	items, err := parseBatch(body)
	if err != nil {
		http.Error(w, "item", http.StatusBadRequest)
		return
	}
	s.countBatch(len(items))
	s.stateHeaders(w.Header())
	w.Header().Set("Content-Type", "application/vnd.google.protobuf; encoding=delimited")
	out := &batchWriter{server: s, out: w, ready: make(chan struct{}, 1)}
	var running, flusher sync.WaitGroup
	flusher.Go(func() { out.flushReady(http.NewResponseController(w).Flush) })
	for _, item := range items {
		running.Go(func() { out.serve(r, item) })
	}
	running.Wait()
	close(out.ready)
	flusher.Wait()
	if out.broken {
		panic(http.ErrAbortHandler)
	}
}

func parseBatch(body []byte) ([]*pb.BatchItem, error) {
	var items []*pb.BatchItem
	lines := bytes.NewReader(body)
	for {
		item := new(pb.BatchItem)
		err := protodelim.UnmarshalFrom(lines, item)
		if errors.Is(err, io.EOF) {
			return items, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "item of a batch")
		}
		items = append(items, item)
	}
}

func (s *Server) countBatch(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Batches++
	s.counts.MaxBatch = max(s.counts.MaxBatch, items)
}

// batchWriter sends the items' replies.
type batchWriter struct {
	server *Server
	// ready is signalled when there is something to flush.
	ready chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	out    io.Writer
	broken bool
}

// serve runs one item as a request of its own, until its timeout.
func (b *batchWriter) serve(r *http.Request, item *pb.BatchItem) {
	ctx := r.Context()
	if item.GetTimeoutUs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(item.GetTimeoutUs())*time.Microsecond)
		defer cancel()
	}
	single := r.Clone(ctx)
	single.URL.Path = pathQuery
	single.Body = io.NopCloser(bytes.NewReader(item.GetBody()))
	single.Header.Set(headerAttempt, item.GetAttempt())
	single.Header.Set(headerShard, item.GetShard())
	single.Header.Set(headerClass, item.GetClass())
	single.Header.Set(headerGeneration, strconv.FormatUint(item.GetGeneration(), 10))
	single.Header.Set(headerSnapshot, strconv.FormatUint(item.GetSnapshot(), 10))
	reply := &itemWriter{header: make(http.Header)}
	defer func() {
		if fault := recover(); fault == nil {
			b.send(reply)
		} else if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			b.mu.Lock()
			b.broken = true
			b.mu.Unlock()
		} else {
			panic(fault)
		}
	}()
	b.server.serveWork(reply, single)
}

// send writes an item's reply, unless its caller has gone.
func (b *batchWriter) send(reply *itemWriter) {
	if reply.status == 0 || b.server.takeFault(FaultMissingItem) {
		return
	}
	line := reply.line()
	b.mu.Lock()
	defer b.mu.Unlock()
	// A caller that has gone is noticed by the items that still run.
	_, _ = protodelim.MarshalTo(b.out, line)
	if b.server.takeFault(FaultDuplicateItem) {
		_, _ = protodelim.MarshalTo(b.out, line)
	}
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// flushReady sends out what is written. Replies that become ready while others
// are being sent go together: each flush costs both ends a system call.
func (b *batchWriter) flushReady(flush func() error) {
	for range b.ready {
		b.mu.Lock()
		_ = flush()
		b.mu.Unlock()
	}
}

// itemWriter keeps the reply to one item.
type itemWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *itemWriter) Header() http.Header { return w.header }

func (w *itemWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

func (w *itemWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

func (w *itemWriter) line() *pb.BatchReply {
	number := func(text string) uint64 {
		n, _ := strconv.ParseUint(text, 10, 64)
		return n
	}
	oldest, newest, _ := strings.Cut(w.header.Get(headerSnapshots), "-")
	line := &pb.BatchReply{
		Attempt:        w.header.Get(headerAttempt),
		Status:         uint32(w.status),
		NotRun:         w.header.Get(headerNotRun) == "true",
		Shard:          w.header.Get(headerShard),
		Generation:     number(w.header.Get(headerGeneration)),
		Snapshot:       number(w.header.Get(headerSnapshot)),
		OldestSnapshot: number(oldest),
		NewestSnapshot: number(newest),
		Cold:           w.header.Get(headerState) == "cold",
		Draining:       w.header.Get(headerState) == "draining",
	}
	if w.status == http.StatusOK {
		line.Result = w.body.Bytes()
	}
	return line
}

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

// serveBatch serves each item like a single query, so that slots, cold starts,
// rejections and faults apply to items in the same way. It sends each reply as soon
// as the item completes.
func (s *Server) serveBatch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	disabled := s.noBatches
	s.mu.Unlock()
	if disabled {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	s.setStateHeaders(w.Header())
	w.Header().Set("Content-Type", "application/vnd.google.protobuf; encoding=delimited")
	out := &batchWriter{server: s, out: w, ready: make(chan struct{}, 1)}
	var workers, flusher sync.WaitGroup
	flusher.Go(func() { out.flushReady(http.NewResponseController(w).Flush) })
	for _, item := range items {
		workers.Go(func() { out.serve(r, item) })
	}
	workers.Wait()
	close(out.ready)
	flusher.Wait()
	if out.aborted {
		panic(http.ErrAbortHandler)
	}
}

// parseBatch decodes the length-delimited items of a batch.
func parseBatch(body []byte) ([]*pb.BatchItem, error) {
	var items []*pb.BatchItem
	reader := bytes.NewReader(body)
	for {
		item := new(pb.BatchItem)
		err := protodelim.UnmarshalFrom(reader, item)
		if errors.Is(err, io.EOF) {
			return items, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "decode batch item")
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

// batchWriter writes the replies to the items of one batch.
type batchWriter struct {
	server *Server
	// ready is signalled after a reply is written, and closed after the last item.
	ready chan struct{}

	// mu guards the fields below.
	mu  sync.Mutex
	out io.Writer
	// aborted is set when a fault resets the connection of an item.
	aborted bool
}

// serve runs one item as a separate request with the item's timeout.
func (b *batchWriter) serve(r *http.Request, item *pb.BatchItem) {
	ctx := r.Context()
	if item.GetTimeoutUs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(item.GetTimeoutUs())*time.Microsecond)
		defer cancel()
	}
	request := r.Clone(ctx)
	request.URL.Path = pathQuery
	request.Body = io.NopCloser(bytes.NewReader(item.GetBody()))
	request.Header.Set(headerAttempt, item.GetAttempt())
	request.Header.Set(headerShard, item.GetShard())
	request.Header.Set(headerClass, item.GetClass())
	request.Header.Set(headerGeneration, strconv.FormatUint(item.GetGeneration(), 10))
	request.Header.Set(headerSnapshot, strconv.FormatUint(item.GetSnapshot(), 10))
	reply := &itemWriter{header: make(http.Header)}
	defer func() {
		if cause := recover(); cause == nil {
			b.send(reply)
		} else if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			b.mu.Lock()
			b.aborted = true
			b.mu.Unlock()
		} else {
			panic(cause)
		}
	}()
	b.server.serveWork(reply, request)
}

// send writes the reply to an item, unless the item was cancelled.
func (b *batchWriter) send(reply *itemWriter) {
	if reply.status == 0 || b.server.takeFault(FaultMissingItem) {
		return
	}
	message := reply.message()
	b.mu.Lock()
	defer b.mu.Unlock()
	// A write error is ignored: a disconnect cancels the context of the items that
	// still run.
	_, _ = protodelim.MarshalTo(b.out, message)
	if b.server.takeFault(FaultDuplicateItem) {
		_, _ = protodelim.MarshalTo(b.out, message)
	}
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// flushReady flushes written replies until ready is closed. Replies that complete
// during a flush share the next one, because each flush costs a system call at both
// ends.
func (b *batchWriter) flushReady(flush func() error) {
	for range b.ready {
		b.mu.Lock()
		_ = flush()
		b.mu.Unlock()
	}
}

// itemWriter buffers the reply to one item.
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

// message converts the buffered reply to a batch reply.
func (w *itemWriter) message() *pb.BatchReply {
	parseUint := func(text string) uint64 {
		n, _ := strconv.ParseUint(text, 10, 64)
		return n
	}
	oldest, newest, _ := strings.Cut(w.header.Get(headerSnapshots), "-")
	message := &pb.BatchReply{
		Attempt:        w.header.Get(headerAttempt),
		Status:         uint32(w.status),
		NotRun:         w.header.Get(headerNotRun) == "true",
		Shard:          w.header.Get(headerShard),
		Generation:     parseUint(w.header.Get(headerGeneration)),
		Snapshot:       parseUint(w.header.Get(headerSnapshot)),
		OldestSnapshot: parseUint(oldest),
		NewestSnapshot: parseUint(newest),
		Cold:           w.header.Get(headerState) == "cold",
		Draining:       w.header.Get(headerState) == "draining",
	}
	if w.status == http.StatusOK {
		message.Result = w.body.Bytes()
	}
	return message
}

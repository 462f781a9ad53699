package backend

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/intake"
)

const (
	// memoryPollInterval is the time between two checks while a reply waits for memory.
	memoryPollInterval = 10 * time.Millisecond
	// segmentBytes is the size of the buffers for a reply without a length, and the greatest length of
	// a short reply, which does not count.
	segmentBytes = 8 << 10
	// maxReservedBytes is the greatest stated length for which the memory is reserved at once. A
	// replica may state a length that it does not send.
	maxReservedBytes = 64 << 10
)

// errReplyTooLarge means that the body of a reply exceeds the limit, or would by its length.
var errReplyTooLarge = errors.New("reply exceeds the limit")

// readBody reads the body of a reply, which has at most limit bytes. A reply to HEAD has no body,
// though it may state the length of one.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	switch {
	case resp.Body == http.NoBody:
		return nil, nil
	case resp.ContentLength > limit:
		return nil, errReplyTooLarge
	case resp.ContentLength < 0 || resp.ContentLength > maxReservedBytes:
		return readSegments(resp.Body, limit, func(int64, bool) bool { return true })
	}
	return readLength(resp)
}

// readBody is like the function of that name. If the memory of replies is bounded, one that is not
// short or has no length takes its memory from the bound, and a large one waits for it.
func (f *ForwardRequest) readBody(resp *http.Response, limit int64) ([]byte, error) {
	if f.TakeMemory == nil || resp.Body == http.NoBody || resp.ContentLength > limit {
		return readBody(resp, limit)
	}
	if resp.ContentLength < 0 {
		return readSegments(resp.Body, limit, f.takeMemory)
	}
	// All of it is taken first. Replies that each wait for their last part would block each other.
	if n := resp.ContentLength; n > segmentBytes && !f.takeMemory(n, n <= maxReservedBytes) {
		return nil, intake.ErrNoMemory
	}
	return readLength(resp)
}

// readLength reads a body of the stated length.
func readLength(resp *http.Response) ([]byte, error) {
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// segment is a buffer for a part of a body.
type segment [segmentBytes]byte

// segmentPool holds segments for reuse while any is in use. A body without end is read up to the
// limit. With new buffers for each, such bodies would leave garbage faster than it is collected;
// a sync.Pool would keep about as many unused as used.
type segmentPool struct {
	// mu guards the fields below.
	mu   sync.Mutex
	free []*segment
	used int
}

// segments is shared by all clients.
var segments segmentPool

func (p *segmentPool) get() *segment {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used++
	if n := len(p.free) - 1; n >= 0 {
		s := p.free[n]
		p.free = p.free[:n]
		return s
	}
	return new(segment)
}

func (p *segmentPool) put(list []*segment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= len(list)
	p.free = append(p.free, list...)
	if p.used == 0 {
		p.free = nil
	}
}

// readSegments reads a body of at most limit bytes up to its end. take is called with the memory in
// bytes before it is used, and whether the reply is small until then; if it returns false, the error
// is intake.ErrNoMemory.
func readSegments(body io.Reader, limit int64, take func(size int64, small bool) bool) ([]byte, error) {
	var read []*segment
	defer func() { segments.put(read) }()
	size := 0
	for {
		if size == len(read)*segmentBytes {
			if !take(segmentBytes, size < maxReservedBytes) {
				return nil, intake.ErrNoMemory
			}
			read = append(read, segments.get())
		}
		n, err := body.Read(read[len(read)-1][size%segmentBytes:])
		size += n
		switch {
		case int64(size) > limit:
			return nil, errReplyTooLarge
		case errors.Is(err, io.EOF):
			return joinSegments(read, size, take)
		case err != nil:
			return nil, err
		}
	}
}

// joinSegments returns the first size bytes of segments.
func joinSegments(list []*segment, size int, take func(size int64, small bool) bool) ([]byte, error) {
	if len(list) > 1 && !take(int64(size), size <= maxReservedBytes) {
		return nil, intake.ErrNoMemory
	}
	joined := make([]byte, 0, size)
	for _, s := range list {
		joined = append(joined, s[:min(segmentBytes, size-len(joined))]...)
	}
	return joined, nil
}

// takeMemory takes memory for a part of a reply. A small reply does without if there is none, so that
// large ones keep no ordinary request from its answer.
func (f *ForwardRequest) takeMemory(size int64, small bool) bool {
	if small {
		f.TakeMemory(size)
		return true
	}
	return f.awaitMemory(size)
}

// awaitMemory waits for memory until the deadline of the request. It returns false if there is
// none, or the reply is no longer needed: the memory of a request that has ended counts no more.
func (f *ForwardRequest) awaitMemory(size int64) bool {
	for !f.isCancelled() {
		if f.TakeMemory(size) {
			return true
		}
		if time.Until(f.Deadline) <= 0 {
			return false
		}
		time.Sleep(memoryPollInterval)
	}
	return false
}

func (f *ForwardRequest) isCancelled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelled
}

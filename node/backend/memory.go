package backend

import (
	"io"
	"net/http"
	"time"

	"github.com/carobmill/carobmill/node/intake"
)

// memoryPollInterval is the time between two checks while a reply waits for memory.
const memoryPollInterval = 10 * time.Millisecond

// readBody reads at most limit bytes of a reply. A large reply waits for memory before it is read.
func (f *ForwardRequest) readBody(resp *http.Response, limit int64) ([]byte, error) {
	known := resp.ContentLength >= 0
	if f.TakeMemory == nil || resp.Body == http.NoBody || known && resp.ContentLength <= maxReservedBytes {
		return readBody(resp, limit)
	}
	if known && resp.ContentLength < limit {
		// All of it is taken first. Replies that each wait for their last part would block each
		// other.
		if !f.awaitMemory(resp.ContentLength) {
			return nil, intake.ErrNoMemory
		}
		data := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, data)
		return data, err
	}
	read := int64(0)
	return intake.ReadAll(resp.Body, limit, func(size int64) bool {
		read += size
		return read <= maxReservedBytes || f.awaitMemory(size)
	})
}

// awaitMemory waits for memory until the deadline of the request. It returns false if there is
// none, or the reply is no longer needed.
func (f *ForwardRequest) awaitMemory(size int64) bool {
	for !f.TakeMemory(size) {
		if time.Until(f.Deadline) <= 0 || f.isCancelled() {
			return false
		}
		time.Sleep(memoryPollInterval)
	}
	return true
}

func (f *ForwardRequest) isCancelled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelled
}

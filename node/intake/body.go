package intake

import (
	"bytes"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

const (
	// firstBodyBytes is the memory for a body before any of its bytes have arrived.
	firstBodyBytes = 4 << 10
	// bodyGrowth is by how much the buffer of a body grows when it is full. The buffers before
	// it are garbage: a third of the last one together.
	bodyGrowth = 4
)

var (
	// ErrNoMemory means that the budget of callers has no room.
	ErrNoMemory = errors.New("no memory")

	errBodyTooLarge = errors.New("body exceeds the limit")
)

// body is the complete body of a request.
type body struct {
	*bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (*body) Close() error { return nil }

// Body returns the complete body of a request that a Server has passed to its handler. It panics at
// another request, since its body would be lost.
func Body(r *http.Request) []byte {
	b, ok := r.Body.(*body)
	if !ok {
		panic("intake: the request does not come from a Server")
	}
	return b.data
}

// readBody reads a whole body. take is called with the memory in bytes before it is used.
func readBody(r *http.Request, limit int64, take func(int64) bool) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	// One byte more than the limit shows that a body without a length is too large.
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	data, err := ReadAll(r.Body, most, take)
	if err == nil && int64(len(data)) > limit {
		err = errBodyTooLarge
	}
	return data, err
}

// ReadAll reads up to the end, or as many bytes as most. take is called with the memory in bytes
// before it is used. If take returns false, the error is ErrNoMemory.
func ReadAll(r io.Reader, most int64, take func(int64) bool) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			if int64(len(data)) == most {
				return data, nil
			}
			size := min(max(int64(bodyGrowth*cap(data)), firstBodyBytes), most)
			if !take(size - int64(cap(data))) {
				return nil, ErrNoMemory
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyStatus returns the status for an error of readBody.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

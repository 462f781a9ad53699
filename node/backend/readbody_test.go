package backend

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against memory that is reserved for a stated length before its bytes arrive: many replies
// that state a large one and then trickle would use up a VM's memory.
func TestStatedLengthReservesNoMemory(t *testing.T) {
	c := qt.New(t)
	const stated, replies = 4 << 20, 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range replies {
		resp := &http.Response{ContentLength: stated, Body: io.NopCloser(io.MultiReader(strings.NewReader("z"), failedReader{}))}
		_, err := readBody(resp, stated+1)
		c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	}
	runtime.ReadMemStats(&after)
	perReply := (after.TotalAlloc - before.TotalAlloc) / replies
	c.Assert(perReply < stated/10, qt.IsTrue, qt.Commentf("%d bytes for each reply", perReply))
}

// failedReader is a body whose connection ends before the stated length.
type failedReader struct{}

func (failedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

//go:build linux && !race

// The race detector multiplies the memory of a process, so these tests run without it.

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/standin/crowd"
)

// The machine of the nodes under test and the limits of their callers.
const (
	nodeMemoryMB    = 64
	nodeDescriptors = 1000
	maxBodyBytes    = 262144
)

// Clients of each kind. The crowd fits a node's descriptors, the connections do not.
const (
	crowdSize   = 480
	connections = 1500
)

// kind is a crowd of one kind of client.
type kind struct {
	name string
	size int
	send crowd.Client
}

// Guards against callers that use up the memory or the descriptors of a node with what they send
// before a request is complete.
func TestCallersBeyondTheLimitsLeaveNodesWithinBounds(t *testing.T) {
	_, nodes := deployWithLimits(t, 4, fmt.Sprintf(
		"limits: {memory_mb: %d, max_descriptors: %d, max_body_bytes: %d}\n", nodeMemoryMB, nodeDescriptors, maxBodyBytes))
	const head = "POST /v1/query HTTP/1.1\r\nHost: h\r\n"
	lines := crowd.HeaderShapes(caller.MaxHeaderBytes - len(head))[0].Text
	kinds := []kind{
		{"header lines", crowdSize, sendText(head + lines + "\r\n")},
		{"heads without last line", crowdSize, sendText(head + lines)},
		{"endless heads", crowdSize, sendText(head + strings.Repeat(lines, 64))},
		{"empty lines", crowdSize, sendText(strings.Repeat("\r\n", 1<<19))},
		{"connections", connections, sendText("")},
	}
	for _, body := range crowd.Bodies(maxBodyBytes) {
		kinds = append(kinds,
			kind{"body, " + body.Name, crowdSize, func(conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, head+body.Head)
				body.Write(conn, maxBodyBytes)
				body.End(conn)
			}},
			kind{"body without end, " + body.Name, crowdSize, func(conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, head+body.Head)
				body.Write(conn, maxBodyBytes-16)
			}})
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			clients, err := crowd.Open(nodes[0].callerAddress, kind.size, waitTimeout, kind.send)
			qt.Assert(t, err, qt.IsNil)
			defer clients.Close()
			nodes[0].checkBounds(t)
			nodes[0].waitForComplete(t)
			nodes[0].checkBounds(t)
		})
	}
}

// sendText returns a client that sends a text.
func sendText(text string) crowd.Client {
	return func(conn net.Conn, _ string) { _, _ = io.WriteString(conn, text) }
}

// checkBounds checks the peak memory and the open descriptors of a node.
func (p *process) checkBounds(t *testing.T) {
	t.Helper()
	c := qt.New(t)
	memory, err := crowd.PeakMemoryMB(p.cmd.Process.Pid)
	c.Assert(err, qt.IsNil)
	open, err := crowd.Descriptors(p.cmd.Process.Pid)
	c.Assert(err, qt.IsNil)
	c.Logf("peak memory %d MB, %d open descriptors", memory, open)
	c.Check(memory <= nodeMemoryMB, qt.IsTrue, qt.Commentf("peak memory %d MB", memory))
	c.Check(open <= nodeDescriptors, qt.IsTrue, qt.Commentf("%d open descriptors", open))
}

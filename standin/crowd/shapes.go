package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
)

// Shape is what the clients of a kind send.
type Shape struct{ Name, Text string }

// HeaderShapes returns the lines of heads that are much larger once parsed. The lines have up to
// size bytes together.
func HeaderShapes(size int) []Shape {
	return []Shape{
		{"short lines", Lines(size, ShortLine)},
		{"one name", Lines(size, func(int) string { return "a:\r\n" })},
		{"bare line feeds", Lines(size, func(n int) string { return strings.ReplaceAll(ShortLine(n), "\r", "") })},
		{"continuation lines", "a: b\r\n" + Lines(size-len("a: b\r\n"), func(int) string { return "\tc\r\n" })},
		{"names in two cases", Lines(size, func(n int) string {
			if n%2 == 0 {
				return ShortLine(n)
			}
			return strings.ToUpper(ShortLine(n - 1))
		})},
	}
}

// Lines returns header lines of up to size bytes together.
func Lines(size int, line func(n int) string) string {
	var lines strings.Builder
	for n := 0; ; n++ {
		next := line(n)
		if lines.Len()+len(next) > size {
			return lines.String()
		}
		lines.WriteString(next)
	}
}

// ShortLine returns one of many short header lines of different names.
func ShortLine(n int) string { return strconv.FormatInt(int64(36*36+n), 36) + ":\r\n" }

// Body is a way in which clients send a body.
type Body struct {
	Name string
	// Head holds the header lines that describe the body, and the empty line.
	Head string
	// Write sends the first bytes of the body. End sends what follows the last one.
	Write func(conn net.Conn, size int)
	End   func(conn net.Conn)
}

// Bodies returns ways to send a body of a size.
func Bodies(size int) []Body {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	return []Body{
		{Name: "whole", Head: length, Write: writeWhole, End: func(net.Conn) {}},
		{Name: "pieces", Head: length, Write: writePieces, End: func(net.Conn) {}},
		{
			Name: "chunks", Head: "Transfer-Encoding: chunked\r\n\r\n", Write: writeChunks,
			End: func(conn net.Conn) { _, _ = conn.Write([]byte("0\r\n\r\n")) },
		},
	}
}

func writeWhole(conn net.Conn, size int) { _, _ = conn.Write(bytes.Repeat([]byte("b"), size)) }

func writePieces(conn net.Conn, size int) {
	piece := bytes.Repeat([]byte("b"), 1<<10)
	for ; size > 0; size -= len(piece) {
		if _, err := conn.Write(piece[:min(size, len(piece))]); err != nil {
			return
		}
	}
}

// writeChunks sends chunks of 16 bytes.
func writeChunks(conn net.Conn, size int) {
	chunks := bufio.NewWriter(conn)
	for ; size > 0; size -= 16 {
		if _, err := chunks.WriteString("10\r\nbbbbbbbbbbbbbbbb\r\n"); err != nil {
			return
		}
	}
	_ = chunks.Flush()
}

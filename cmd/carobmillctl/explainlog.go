package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// stdinName stands for standard input in the list of log files.
	stdinName = "-"
	// contextBefore is the time before the last log line of a request for which other
	// lines of the same node are shown. It covers the longest time until a change is in
	// force, including the balancer's check.
	contextBefore = 15 * time.Second
	// contextAfter is the time after that line for which other lines are shown. A fault that
	// affects a request may be detected after the request ends.
	contextAfter = 3 * time.Second
	// maxLogLine is the maximum line length in bytes. It fits a request to several
	// hundred shards.
	maxLogLine = 1 << 20
)

// logLine is one line of a node's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	// Text is the unparsed line.
	Text string `json:"-"`
}

// requestLog is the JSON form of the log lines found for a request.
type requestLog struct {
	// Lines are the lines of the request and the context lines of the same nodes, in
	// order of time.
	Lines []json.RawMessage `json:"lines"`
	// Found is the number of lines about the request itself.
	Found int `json:"found"`
	// Unreadable is the number of lines that could not be parsed.
	Unreadable int `json:"unreadable"`
}

// explainRequest prints the log lines of a request and its context lines. files is a
// comma-separated list.
func explainRequest(inv *invocation, id, files string) int {
	var lines []logLine
	unreadable := 0
	for _, name := range strings.Split(files, ",") {
		more, bad, err := readLog(name, id)
		if err != nil {
			return inv.failed(err)
		}
		lines = append(lines, more...)
		unreadable += bad
	}
	found := selectLines(lines, id)
	if inv.json() {
		report := requestLog{Lines: []json.RawMessage{}, Unreadable: unreadable}
		for _, l := range found {
			report.Lines = append(report.Lines, json.RawMessage(l.Text))
			if l.Request == id {
				report.Found++
			}
		}
		inv.writeJSON(report)
	} else {
		for _, l := range found {
			inv.printf("%s  %-22s %s\n", l.Time.Format(time.RFC3339Nano), l.Node, l.Text)
		}
	}
	if len(found) == 0 {
		return inv.failed(errors.Errorf("no line about request %s: either it completed and was not logged, or its node's log is missing", id))
	}
	return exitOK
}

// readLog returns the lines of the request, and the lines that belong to no request. The
// latter record state changes of the node.
func readLog(name, id string) (lines []logLine, unreadable int, err error) {
	var from io.Reader = os.Stdin
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, errors.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }()
		from = file
	}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		l := logLine{Text: scanner.Text()}
		if json.Unmarshal(scanner.Bytes(), &l) != nil || l.Time.IsZero() {
			unreadable++
			continue
		}
		if l.Request == "" || l.Request == id {
			lines = append(lines, l)
		}
	}
	return lines, unreadable, errors.Wrap(scanner.Err(), name)
}

// selectLines returns the lines of the nodes that logged the request, from contextBefore
// before to contextAfter after the node's last line of the request, in order of time.
func selectLines(lines []logLine, id string) []logLine {
	last := make(map[string]time.Time)
	for _, l := range lines {
		if l.Request == id && l.Time.After(last[l.Node]) {
			last[l.Node] = l.Time
		}
	}
	var found []logLine
	for _, l := range lines {
		end, ok := last[l.Node]
		if !ok || l.Time.After(end.Add(contextAfter)) || l.Time.Before(end.Add(-contextBefore)) {
			continue
		}
		found = append(found, l)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Time.Before(found[j].Time) })
	return found
}

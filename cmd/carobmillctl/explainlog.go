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
	// stdinName names standard input among log files.
	stdinName = "-"
	// beliefWindow is how long before a request a node's changes of belief are shown:
	// the longest time in which news must be in force, with the check of the balancer.
	beliefWindow = 15 * time.Second
	// beliefAfter is how long after it they are shown: what a request suffered from may
	// be found out after it.
	beliefAfter = 3 * time.Second
	// maxLogLine bounds a line: a request over some hundred shards.
	maxLogLine = 1 << 20
)

// logLine is one line of a node's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	// Text is the line as it was written.
	Text string `json:"-"`
}

// requestLog is what the logs of all nodes tell of one request.
type requestLog struct {
	// Lines of the request, and of the nodes' changes of belief shortly before, in
	// order of time.
	Lines []json.RawMessage `json:"lines"`
	// Found is the number of lines about the request itself.
	Found int `json:"found"`
	// Unreadable is the number of lines that are no log lines.
	Unreadable int `json:"unreadable"`
}

// explainRequest prints what log files say of a request.
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
	found := aboutRequest(lines, id)
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
		return inv.failed(errors.Errorf("no line about request %s: it was answered well, or its node's log is missing", id))
	}
	return exitOK
}

// readLog reads the lines of a file that matter: those of the request, and those of no
// request, which tell what a node believed.
func readLog(name, id string) (lines []logLine, unreadable int, err error) {
	var from io.Reader = os.Stdin
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, errors.Wrap(err, "log")
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

// aboutRequest returns the lines of the request, and those of the same nodes from
// beliefWindow before to beliefAfter its last line, in order of time.
func aboutRequest(lines []logLine, id string) []logLine {
	last := make(map[string]time.Time)
	for _, l := range lines {
		if l.Request == id && l.Time.After(last[l.Node]) {
			last[l.Node] = l.Time
		}
	}
	var found []logLine
	for _, l := range lines {
		end, concerned := last[l.Node]
		if !concerned || l.Time.After(end.Add(beliefAfter)) || l.Time.Before(end.Add(-beliefWindow)) {
			continue
		}
		found = append(found, l)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Time.Before(found[j].Time) })
	return found
}

// Package explain tells the story of one request from the routers' logs.
//
// When a caller complains, the log is what is left. An Explainer reads logs of
// any size as a stream, picks the lines of one request, and shows with them what
// their router came to know just before: what it believed decides what it did.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// before is how long before a request's line a router's news are shown.
	before = 3 * time.Second
	// keptNews bounds the news that are kept while reading.
	keptNews = 256
	// maxLine bounds a line, in bytes. A router's are below 1 KB.
	maxLine = 1 << 20
)

// line is what is read of a log line.
type line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Router  string    `json:"router"`
	Request string    `json:"request"`
	Reason  string    `json:"reason"`
	Outcome string    `json:"outcome"`
	Detail  string    `json:"detail"`
	Cause   string    `json:"cause"`
	Route   string    `json:"route"`
	Account string    `json:"account"`

	Count    int      `json:"count"`
	Longest  float64  `json:"longest-ms"`
	FirstIDs []string `json:"first"`

	Value        string  `json:"value"`
	EndedBy      string  `json:"ended-by"`
	Decision     string  `json:"decision"`
	Silent       float64 `json:"silent-ms"`
	SilenceLimit float64 `json:"silence-limit-ms"`
	Latency      float64 `json:"latency-ms"`

	Upstream  string  `json:"upstream"`
	Sent      bool    `json:"sent"`
	NotRun    bool    `json:"not-run"`
	Attempt   int     `json:"attempt"`
	Sends     int     `json:"sends"`
	Runs      int     `json:"runs"`
	Events    int     `json:"events"`
	Unread    int     `json:"unread-tokens"`
	Waited    float64 `json:"waited-ms"`
	Age       float64 `json:"age-ms"`
	First     float64 `json:"first-ms"`
	Total     float64 `json:"total-ms"`
	Retry     float64 `json:"retry-after-ms"`
	Late      bool    `json:"late"`
	Version   uint64  `json:"configuration"`
	Draining  bool    `json:"draining"`
	Gone      bool    `json:"gone"`
	Connected bool    `json:"connected"`
	Other     string  `json:"other"`
	Table     string  `json:"table"`
	From      string  `json:"from"`
	News      uint64  `json:"version"`
}

// news are the messages that tell what a router came to know.
var news = map[string]func(l *line) string{
	"configuration in force":    func(l *line) string { return fmt.Sprintf("configuration %d in force, from %s", l.News, l.From) },
	"upstream changed":          func(l *line) string { return fmt.Sprintf("upstream %s %s, from %s", l.Upstream, l.state(), l.From) },
	"upstream taken out":        func(l *line) string { return "upstream " + l.Upstream + " taken out, its requests fail" },
	"dependency lost":           func(l *line) string { return "store lost (" + l.Table + ")" },
	"dependency regained":       func(l *line) string { return "store regained (" + l.Table + ")" },
	"router connection changed": func(l *line) string { return fmt.Sprintf("router %s connected: %t", l.Other, l.Connected) },
	"stopping":                  func(*line) string { return "this router stops" },
	"started":                   func(*line) string { return "this router starts" },
}

func (l *line) state() string {
	switch {
	case l.Gone:
		return "is gone"
	case l.Draining:
		return "drains"
	}
	return "is ready"
}

// Explainer tells the story of one request.
type Explainer struct {
	// Request is the request's id.
	Request string
	// Out is where the story goes.
	Out io.Writer

	kept  []line
	sums  []line
	found int
}

// Read reads one log and writes what it has of the request. Lines that aren't a
// router's are passed over; text before a line's first brace is left out.
func (e *Explainer) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if err := e.take(scanner.Bytes()); err != nil {
			return err
		}
	}
	return eris.Wrap(scanner.Err(), "reading a log")
}

// Found returns how many lines of the request were seen.
func (e *Explainer) Found() int { return e.found }

func (e *Explainer) take(raw []byte) error {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return nil
	}
	var l line
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		return nil //nolint:nilerr // not a router's line
	}
	if _, isNews := news[l.Message]; isNews {
		e.keep(l)
		return nil
	}
	if l.Message == "requests refused" {
		return e.takeSum(&l)
	}
	if l.Request != e.Request || e.Request == "" {
		return nil
	}
	if err := e.tellNews(l); err != nil {
		return err
	}
	e.found++
	return e.print(&l, l.story())
}

func (e *Explainer) keep(l line) {
	if len(e.kept) >= keptNews {
		e.kept = e.kept[1:]
	}
	e.kept = append(e.kept, l)
}

// tellNews prints what the router of a line came to know shortly before.
func (e *Explainer) tellNews(about line) error {
	rest := e.kept[:0]
	for _, l := range e.kept {
		if l.Router != about.Router {
			rest = append(rest, l)
			continue
		}
		if about.Time.Sub(l.Time) > before {
			continue
		}
		if err := e.print(&l, "  ("+news[l.Message](&l)+")"); err != nil {
			return err
		}
	}
	e.kept = rest
	return nil
}

func (e *Explainer) print(l *line, text string) error {
	_, err := fmt.Fprintf(e.Out, "%s %s %s\n", l.Time.Format("15:04:05.000"), l.Router, text)
	return eris.Wrap(err, "writing the story")
}

func (l *line) story() string {
	switch l.Message {
	case "request refused":
		return l.refused()
	case "attempt failed":
		return l.failed()
	case "request answered":
		return l.answered()
	case "panic":
		return "a fault of the router ended it: " + l.Value + "; the log line has the stack"
	}
	return l.Message
}

func (l *line) refused() string {
	text := fmt.Sprintf("refused: %s (%s) after %.1f ms, of which %.1f in the queue; %d sent, %d may have run, %d events passed",
		l.Reason, l.Outcome, l.Age, l.Waited, l.Sends, l.Runs, l.Events)
	text += fmt.Sprintf("; route %s, account %s, configuration %d", l.Route, l.Account, l.Version)
	if l.Retry > 0 {
		text += fmt.Sprintf("; asked back after %.0f ms", l.Retry)
	}
	return text + because(l.Detail, l.Cause)
}

func because(detail, cause string) string {
	switch {
	case cause == "" || cause == detail:
		return "; " + detail
	case detail == "":
		return "; " + cause
	}
	return "; " + detail + ": " + cause
}

func (l *line) failed() string {
	run := "not sent"
	switch {
	case l.NotRun && l.Sent:
		run = "not run, by the upstream's word"
	case l.Sent:
		run = "may have run"
	}
	return fmt.Sprintf("attempt %d failed at %s after %.1f ms: %s (%s), %d events passed, %d tokens unread there%s%s",
		l.Attempt, l.Upstream, l.Age, l.Reason, run, l.Events, l.Unread, l.ended(), because("", l.Cause))
}

// ended tells who ended an attempt. Logs of older routers don't say.
func (l *line) ended() string {
	switch {
	case l.EndedBy == "":
		return ""
	case l.Decision == "":
		return "; ended by the " + l.EndedBy
	case l.Decision == "silence":
		return fmt.Sprintf("; ended by the router, since the upstream was silent for %.0f of %.0f ms (scheduling latency %.0f ms)",
			l.Silent, l.SilenceLimit, l.Latency)
	}
	return fmt.Sprintf("; ended by the router: %s (scheduling latency %.0f ms)", l.Decision, l.Latency)
}

func (l *line) answered() string {
	when := "in time"
	if l.Late {
		when = "late"
	}
	return fmt.Sprintf("answered %s by %s: first byte after %.1f ms, of which %.1f in the queue, end after %.1f ms; %d sent, %d tokens unread there",
		when, l.Upstream, l.First, l.Waited, l.Total, l.Sends, l.Unread)
}

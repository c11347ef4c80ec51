// Package explain reconstructs what happened to one request from the routers' logs.
//
// When a caller complains, only the logs are left. An Explainer reads logs of any
// size as a stream and prints the lines of one request, together with the events that
// their router logged shortly before, because they explain its decisions.
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
	// eventWindow is how long before a line of the request a router's events are printed.
	eventWindow = 3 * time.Second
	// maxKeptEvents bounds the events that are kept while reading.
	maxKeptEvents = 256
	// maxLine bounds the length of a line, in bytes. Lines of a router are below 1 KB.
	maxLine = 1 << 20
)

// logLine holds the fields of a log line that are used here. Durations are in milliseconds.
type logLine struct {
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

	Count       int      `json:"count"`
	LongestWait float64  `json:"longest-ms"`
	FirstIDs    []string `json:"first"`

	PanicValue   string  `json:"value"`
	EndedBy      string  `json:"ended-by"`
	Decision     string  `json:"decision"`
	Silent       float64 `json:"silent-ms"`
	SilenceLimit float64 `json:"silence-limit-ms"`
	Latency      float64 `json:"latency-ms"`

	Upstream    string  `json:"upstream"`
	Software    string  `json:"software"`
	Began       string  `json:"began-software"`
	Resumes     string  `json:"resumes"`
	After       uint64  `json:"resumed-after"`
	Sent        bool    `json:"sent"`
	NotRun      bool    `json:"not-run"`
	Attempt     int     `json:"attempt"`
	Sends       int     `json:"sends"`
	Runs        int     `json:"runs"`
	Events      int     `json:"events"`
	Unread      int     `json:"unread-tokens"`
	Waited      float64 `json:"waited-ms"`
	Age         float64 `json:"age-ms"`
	FirstByte   float64 `json:"first-ms"`
	Total       float64 `json:"total-ms"`
	RetryAfter  float64 `json:"retry-after-ms"`
	Late        bool    `json:"late"`
	Version     uint64  `json:"configuration"`
	Draining    bool    `json:"draining"`
	Gone        bool    `json:"gone"`
	Cold        float64 `json:"cold-ms"`
	DataCenter  string  `json:"data-centre"`
	Ended       bool    `json:"ended"`
	Connected   bool    `json:"connected"`
	OtherRouter string  `json:"other"`
	Table       string  `json:"table"`
	From        string  `json:"from"`
	NewVersion  uint64  `json:"version"`
}

// routerEvents maps the messages about changes of a router's state to their descriptions.
var routerEvents = map[string]func(l *logLine) string{
	"configuration in force": func(l *logLine) string {
		return fmt.Sprintf("configuration %d in force, from %s", l.NewVersion, l.From)
	},
	"upstream changed": func(l *logLine) string {
		return fmt.Sprintf("upstream %s%s %s, from %s", l.Upstream, l.softwareText(), l.upstreamState(), l.From)
	},
	"evacuation changed": func(l *logLine) string {
		if l.Ended {
			return fmt.Sprintf("evacuation of %s ended, from %s", l.DataCenter, l.From)
		}
		return fmt.Sprintf("%s evacuated, from %s", l.DataCenter, l.From)
	},
	"upstream taken out":        func(l *logLine) string { return "upstream " + l.Upstream + " taken out, its requests fail" },
	"dependency lost":           func(l *logLine) string { return "store lost (" + l.Table + ")" },
	"dependency regained":       func(l *logLine) string { return "store regained (" + l.Table + ")" },
	"router connection changed": func(l *logLine) string { return fmt.Sprintf("router %s connected: %t", l.OtherRouter, l.Connected) },
	"stopping":                  func(*logLine) string { return "this router stops" },
	"started":                   func(*logLine) string { return "this router starts" },
}

func (l *logLine) softwareText() string {
	if l.Software == "" {
		return ""
	}
	return " (software " + l.Software + ")"
}

func (l *logLine) upstreamState() string {
	switch {
	case l.Gone:
		return "is gone"
	case l.Draining:
		return "drains"
	case l.Cold > 0:
		return fmt.Sprintf("is cold for %.0f ms", l.Cold)
	}
	return "is ready"
}

// Explainer prints what happened to one request.
type Explainer struct {
	// Request is the request's id.
	Request string
	// Out receives the explanation.
	Out io.Writer

	recentEvents []logLine
	summaries    []logLine
	found        int
}

// Read reads one log and prints its lines about the request, and about those that take up its
// stream again. Lines that aren't a
// router's are skipped, and so is any text before a line's first brace.
func (e *Explainer) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if err := e.readLine(scanner.Bytes()); err != nil {
			return err
		}
	}
	return eris.Wrap(scanner.Err(), "reading a log")
}

// Found returns how many lines about the request were read.
func (e *Explainer) Found() int { return e.found }

func (e *Explainer) readLine(raw []byte) error {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return nil
	}
	var l logLine
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		return nil //nolint:nilerr // not a router's line
	}
	if _, isEvent := routerEvents[l.Message]; isEvent {
		e.keepEvent(l)
		return nil
	}
	if l.Message == "requests refused" {
		return e.addSummary(&l)
	}
	if e.Request == "" || (l.Request != e.Request && l.Resumes != e.Request) {
		return nil
	}
	if err := e.printEvents(l); err != nil {
		return err
	}
	e.found++
	return e.print(&l, l.describe()+l.describeStream())
}

func (e *Explainer) keepEvent(l logLine) {
	if len(e.recentEvents) >= maxKeptEvents {
		e.recentEvents = e.recentEvents[1:]
	}
	e.recentEvents = append(e.recentEvents, l)
}

// printEvents prints the events that the router of a request's line logged shortly before.
func (e *Explainer) printEvents(requestLine logLine) error {
	remaining := e.recentEvents[:0]
	for _, l := range e.recentEvents {
		if l.Router != requestLine.Router {
			remaining = append(remaining, l)
			continue
		}
		if requestLine.Time.Sub(l.Time) > eventWindow {
			continue
		}
		if err := e.print(&l, "  ("+routerEvents[l.Message](&l)+")"); err != nil {
			return err
		}
	}
	e.recentEvents = remaining
	return nil
}

func (e *Explainer) print(l *logLine, text string) error {
	_, err := fmt.Fprintf(e.Out, "%s %s %s\n", l.Time.Format("15:04:05.000"), l.Router, text)
	return eris.Wrap(err, "writing the explanation")
}

func (l *logLine) describe() string {
	switch l.Message {
	case "request refused":
		return l.describeRefusal()
	case "attempt failed":
		return l.describeFailure()
	case "request answered":
		return l.describeAnswer()
	case "panic":
		return "a fault of the router ended it: " + l.PanicValue + "; the log line has the stack"
	}
	return l.Message
}

// describeStream returns which stream a request takes up again, and the software versions.
func (l *logLine) describeStream() string {
	text := ""
	if l.Resumes != "" {
		text += fmt.Sprintf("; request %s takes up stream %s after event %d", l.Request, l.Resumes, l.After)
	}
	if l.Software != "" {
		text += "; software " + l.Software
	}
	if l.Began != "" && l.Began != l.Software {
		text += ", first event from " + l.Began
	}
	return text
}

func (l *logLine) describeRefusal() string {
	text := fmt.Sprintf("refused: %s (%s) after %.1f ms, of which %.1f in the queue; %d sent, %d may have run, %d events passed",
		l.Reason, l.Outcome, l.Age, l.Waited, l.Sends, l.Runs, l.Events)
	text += fmt.Sprintf("; route %s, account %s, configuration %d", l.Route, l.Account, l.Version)
	if l.RetryAfter > 0 {
		text += fmt.Sprintf("; asked back after %.0f ms", l.RetryAfter)
	}
	return text + causeText(l.Detail, l.Cause)
}

func causeText(detail, cause string) string {
	switch {
	case cause == "" || cause == detail:
		return "; " + detail
	case detail == "":
		return "; " + cause
	}
	return "; " + detail + ": " + cause
}

func (l *logLine) describeFailure() string {
	run := "not sent"
	switch {
	case l.NotRun && l.Sent:
		run = "not run, by the upstream's word"
	case l.Sent:
		run = "may have run"
	}
	return fmt.Sprintf("attempt %d failed at %s after %.1f ms: %s (%s), %d events passed, %d tokens unread there%s%s",
		l.Attempt, l.Upstream, l.Age, l.Reason, run, l.Events, l.Unread, l.describeEnd(), causeText("", l.Cause))
}

// describeEnd returns which side ended an attempt, and why. Older routers don't log it.
func (l *logLine) describeEnd() string {
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

func (l *logLine) describeAnswer() string {
	timing := "in time"
	if l.Late {
		timing = "late"
	}
	return fmt.Sprintf("answered %s by %s: first byte after %.1f ms, of which %.1f in the queue, end after %.1f ms; %d sent, %d tokens unread there",
		timing, l.Upstream, l.FirstByte, l.Waited, l.Total, l.Sends, l.Unread)
}

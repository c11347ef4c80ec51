//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// attemptField and notExecutedField are fields of the platform's protocol.
	attemptField     = "X-Nutmeglock-Attempt-Id"
	notExecutedField = "X-Nutmeglock-Not-Executed"
	// beatTimeout bounds one write of a worker's entry.
	beatTimeout = time.Second
)

// workerOptions are the flags of a worker's process.
type workerOptions struct {
	id, service, address, zone, version, store string
	slots                                      int
	// stream makes the worker a model worker, whose answers are events; unframed answers have neither a length nor chunks.
	stream, unframed bool
	// events is the length of a stream, first the time to its first event, and interval that between two.
	events          int
	first, interval time.Duration
	// crashPath is the path of the request that ends the process. Before that the worker writes half of its answer if
	// crashMidway is set.
	crashPath   string
	crashMidway bool
}

func (o *workerOptions) flags() *flag.FlagSet {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&o.id, "id", "", "")
	f.StringVar(&o.service, "service", "", "")
	f.StringVar(&o.address, "address", "", "")
	f.StringVar(&o.zone, "zone", "", "")
	f.StringVar(&o.version, "version", "v1", "")
	f.StringVar(&o.store, "store", "", "")
	f.IntVar(&o.slots, "slots", 64, "")
	f.BoolVar(&o.stream, "stream", false, "")
	f.BoolVar(&o.unframed, "unframed", false, "")
	f.IntVar(&o.events, "events", 40, "")
	f.DurationVar(&o.first, "first", 60*time.Millisecond, "")
	f.DurationVar(&o.interval, "interval", 100*time.Millisecond, "")
	f.StringVar(&o.crashPath, "crash-path", "", "")
	f.BoolVar(&o.crashMidway, "crash-midway", false, "")
	return f
}

func (o *workerOptions) args() []string {
	return []string{
		"worker", "-id", o.id, "-service", o.service, "-address", o.address, "-zone", o.zone, "-version", o.version, "-store", o.store,
		"-slots", strconv.Itoa(o.slots), fmt.Sprintf("-stream=%t", o.stream), fmt.Sprintf("-unframed=%t", o.unframed),
		"-events", strconv.Itoa(o.events), "-first", o.first.String(), "-interval", o.interval.String(), "-crash-path", o.crashPath, fmt.Sprintf("-crash-midway=%t", o.crashMidway),
	}
}

// worker is a worker's process.
type worker struct {
	workerOptions
	born     int64
	sequence atomic.Int64
	running  atomic.Int64
}

// runWorker serves until a signal ends the process. Each line that it prints tells of a run.
func runWorker(args []string) {
	w := &worker{born: time.Now().UnixMilli()}
	_ = w.flags().Parse(args) // exits on errors
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", w.report)
	mux.HandleFunc("GET /health", w.health)
	mux.HandleFunc("/", w.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the process
	for {
		w.beat()
		time.Sleep(heartbeat)
	}
}

func (w *worker) print(what, attempt string) {
	fmt.Printf("%s %s worker %s version %s born %d\n", what, attempt, w.id, w.version, w.born)
}

// beat writes the worker's entry.
func (w *worker) beat() {
	entry, _ := json.Marshal(map[string]any{ // never fails
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence.Add(1), "born": w.born,
	})
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.store+workersPath+w.id, bytes.NewReader(entry))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil { // else the next heartbeat writes it
		_ = response.Body.Close()
	}
}

func (w *worker) report(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	running := w.running.Load()
	_, _ = fmt.Fprintf(out, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":%d,`+
		`"queued":0,"running":%d,"kvUsed":0,"kvTotal":664478,"handles":0,"runs":[],"born":%d}`, w.sequence.Load(), running, w.born)
}

func (w *worker) health(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set("X-Nutmeglock-Instance-Id", w.id)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(attemptField)
	out.Header().Set(attemptField, attempt)
	if expected := r.Header.Get("X-Nutmeglock-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Nutmeglock-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer w.running.Add(-1)
	if w.running.Add(1) > int64(w.slots) {
		out.Header().Set(notExecutedField, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out.Header().Set("X-Nutmeglock-Response-Signature", w.id+"."+attempt)
	if w.unframed {
		out.Header().Set("Transfer-Encoding", "identity")
	}
	w.print("run", attempt)
	if w.stream {
		w.writeEvents(out, r)
	} else {
		w.writeBody(out, r)
	}
}

// writeEvents answers with the events after the caller's last one.
func (w *worker) writeEvents(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero if there is none
	pause := w.first
	for id := last + 1; id <= w.events; id++ {
		if !sleep(r.Context(), pause) {
			panic(http.ErrAbortHandler)
		}
		pause = w.interval
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %s\n\n", id, w.version, w.id)
		_ = http.NewResponseController(out).Flush() // a caller that left ends the context
	}
	w.print("whole", r.Header.Get(attemptField))
}

// writeBody answers with a body in two halves.
func (w *worker) writeBody(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(attemptField)
	whole := wholeBody(attempt)
	for _, part := range []struct {
		pause time.Duration
		text  string
	}{{w.first, whole[:len(whole)/2]}, {w.interval, whole[len(whole)/2:]}} {
		if !sleep(r.Context(), part.pause) {
			panic(http.ErrAbortHandler)
		}
		isCrashing := w.crashPath != "" && r.URL.Path == w.crashPath
		if isCrashing && !w.crashMidway {
			w.crash(attempt)
		}
		_, _ = out.Write([]byte(part.text))
		_ = http.NewResponseController(out).Flush() // a caller that left ends the context
		if isCrashing {
			time.Sleep(crashDelay)
			w.crash(attempt)
		}
	}
	w.print("whole", attempt)
}

// crashDelay is the time between the half of an answer and the crash, in which the half leaves the machine.
const crashDelay = 20 * time.Millisecond

// crash ends the process.
func (w *worker) crash(attempt string) {
	w.print("crash", attempt)
	os.Exit(broken)
}

// bodySize is the size of the body of a plain worker's answer, in bytes.
const bodySize = 800

// wholeBody returns the whole body of a plain worker's answer.
func wholeBody(attempt string) string {
	line := attempt + " done\n"
	return strings.Repeat(line, bodySize/len(line)+1)[:bodySize]
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

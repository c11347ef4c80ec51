//go:build review

package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	idleSeconds   = 10
	signatureName = "X-Nutmeglock-Response-Signature"
	attemptName   = "X-Nutmeglock-Attempt-Id"
)

// worker is a stand-in for a worker: a model engine, or a plain service if it sends no events.
type worker struct {
	id, service, zone, software, address, store string

	slots, events        int
	gap, work            time.Duration
	drain, linger        time.Duration
	unframed, halfOfBody bool
	// crashPart crashes the worker after crashAt events of an answer to a request that holds it.
	crashPart string
	crashAt   int
	prefill   time.Duration

	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool
	out      sync.Mutex
}

// note is one line of what a worker saw and did.
type note struct {
	AtMS    int64  `json:"at"` // Unix time
	Worker  string `json:"worker"`
	Version string `json:"version"`
	What    string `json:"what"`
	Request string `json:"request,omitempty"`
	Line    string `json:"line,omitempty"`
	Event   int    `json:"event,omitempty"`
}

func (w *worker) note(n note) {
	n.AtMS, n.Worker, n.Version = time.Now().UnixMilli(), w.id, w.software
	encoded, _ := json.Marshal(n)
	w.out.Lock()
	defer w.out.Unlock()
	fmt.Println(string(encoded))
}

func runWorker(args []string) int {
	w := &worker{}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.service, "service", "", "")
	flags.StringVar(&w.zone, "zone", "", "")
	flags.StringVar(&w.software, "software", "v1", "")
	flags.StringVar(&w.address, "address", "", "")
	flags.StringVar(&w.store, "store", "", "")
	flags.IntVar(&w.slots, "slots", 6, "")
	flags.IntVar(&w.events, "events", 0, "")
	flags.DurationVar(&w.gap, "gap", 250*time.Millisecond, "")
	flags.DurationVar(&w.work, "work", 60*time.Millisecond, "")
	flags.DurationVar(&w.drain, "drain", 2*time.Second, "")
	flags.DurationVar(&w.linger, "linger", 500*time.Millisecond, "")
	flags.BoolVar(&w.unframed, "unframed", false, "")
	flags.BoolVar(&w.halfOfBody, "half", false, "")
	flags.StringVar(&w.crashPart, "crash-part", "", "")
	flags.IntVar(&w.crashAt, "crash-at", 0, "")
	flags.DurationVar(&w.prefill, "prefill", 0, "")
	if err := flags.Parse(args); err != nil {
		return exitNotRun
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.born = time.Now().UnixMilli()
	go w.accept(listener)
	w.note(note{What: "started"})
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for registered := false; ; {
		err := w.register()
		if err == nil && !registered {
			registered = true
			w.note(note{What: "registered"})
		}
		select {
		case <-ticker.C:
		case <-terminate:
			w.leave()
			return exitHeld
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// register writes the worker's entry.
func (w *worker) register() error {
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": w.slots, "state": state,
		"coldRemainingMs": 0, "sequence": w.sequence.Add(1), "born": w.born,
	}
	if w.events > 0 {
		entry["stage"] = "both"
		entry["models"] = w.models()
	}
	return write(w.store, workerTable, w.id, entry)
}

func (w *worker) models() []map[string]any {
	return []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
}

// leave reports that the worker drains, serves for as long as it has to and a little longer, and exits.
func (w *worker) leave() {
	w.leaving.Store(true)
	err := w.register()
	if err == nil {
		w.note(note{What: "draining accepted"})
	} else {
		w.note(note{What: "draining not accepted"})
	}
	end := time.Now().Add(w.drain + w.linger)
	for time.Now().Before(end) {
		time.Sleep(min(heartbeat, time.Until(end)))
		if err == nil && time.Now().Before(end) {
			_ = w.register()
		}
	}
	w.note(note{What: "exits"})
	_ = write(w.store, workerTable, w.id, nil)
}

func (w *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

// serve answers the requests of a connection, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleSeconds * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if !w.handle(conn, reader, request, body) {
			return
		}
	}
}

// handle answers a request, and reports whether the connection stays open.
func (w *worker) handle(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/api/report":
		report, _ := json.Marshal(map[string]any{
			"stage": "both", "models": w.models(), "busy": false, "sequence": 0, "queued": 0, "running": w.running.Load(),
			"kvUsed": 1000 * w.running.Load(), "kvTotal": 600000, "handles": 0, "pinned": 0, "held": 0, "born": w.born,
		})
		return w.answer(conn, r, http.StatusOK, "Content-Type: application/json\r\n", report)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		status := http.StatusOK
		if w.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		return w.answer(conn, r, status, "X-Nutmeglock-Instance-Id: "+w.id+"\r\n", nil)
	case r.Header.Get(attemptName) == "":
		return w.answer(conn, r, http.StatusBadRequest, "X-Nutmeglock-Not-Executed: 1\r\n", nil)
	}
	if expected := r.Header.Get("X-Nutmeglock-Expect-Instance"); expected != "" && expected != w.id {
		w.note(note{What: "answers 421", Request: r.Header.Get(attemptName)})
		return w.answer(conn, r, http.StatusMisdirectedRequest, "X-Nutmeglock-Instance-Id: "+w.id+"\r\nX-Nutmeglock-Not-Executed: 1\r\n", nil)
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		w.note(note{What: "answers 503", Request: r.Header.Get(attemptName)})
		return w.answer(conn, r, http.StatusServiceUnavailable, "X-Nutmeglock-Not-Executed: 1\r\n", nil)
	}
	defer w.running.Add(-1)
	w.note(note{What: "runs", Request: r.Header.Get(attemptName), Line: fmt.Sprintf("%s %s tenant=%s last=%s body=%d",
		r.Method, r.RequestURI, r.Header.Get("X-Nutmeglock-Tenant"), r.Header.Get("Last-Event-Id"), len(body))})
	ctx, stop := w.untilClosed(conn, reader)
	defer stop()
	if w.events > 0 {
		return w.stream(ctx, conn, r)
	}
	return w.runPlain(ctx, conn, r)
}

// untilClosed returns a context that ends when the caller closes its connection.
func (w *worker) untilClosed(conn net.Conn, reader *bufio.Reader) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil && !os.IsTimeout(err) {
			cancel()
		}
	}()
	return ctx, func() {
		_ = conn.SetReadDeadline(time.Now())
		<-done
		_ = conn.SetReadDeadline(time.Time{})
		cancel()
	}
}

// head returns the start line and the fields that all answers have.
func (w *worker) head(r *http.Request, status int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get(attemptName); id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", attemptName, id)
	}
	fmt.Fprintf(&b, "X-Nutmeglock-Server-Load: %d,0,%d\r\n", w.running.Load(), w.slots)
	if w.leaving.Load() {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	return b.String()
}

// answer sends an answer with a length, and reports whether the connection stays open.
func (w *worker) answer(conn net.Conn, r *http.Request, status int, fields string, body []byte) bool {
	keep := !w.leaving.Load()
	connection := fmt.Sprintf("Keep-Alive: timeout=%d\r\n", idleSeconds)
	if !keep {
		connection = "Connection: close\r\n"
	}
	_, err := io.WriteString(conn, w.head(r, status)+fields+connection+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+string(body))
	return err == nil && keep
}

// plainBody returns the body of the answer to a plain request.
func plainBody(id string) []byte {
	return []byte(strings.Repeat("order "+id+" is entered\n", 25))
}

// signatureOf names the worker and the hash and the length of its whole body.
func signatureOf(id string, body []byte) string {
	return fmt.Sprintf("%s.%x.%d", id, sha256.Sum256(body), len(body))
}

func (w *worker) runPlain(ctx context.Context, conn net.Conn, r *http.Request) bool {
	id := r.Header.Get(attemptName)
	select {
	case <-time.After(w.work):
	case <-ctx.Done():
		w.note(note{What: "caller left", Request: id})
		return false
	}
	body := plainBody(id)
	signature := signatureName + ": " + signatureOf(w.id, body) + "\r\n"
	if !w.unframed {
		kept := w.answer(conn, r, http.StatusOK, signature, body)
		w.note(note{What: "answered", Request: id})
		return kept
	}
	_, _ = io.WriteString(conn, w.head(r, http.StatusOK)+signature+"Connection: close\r\n\r\n")
	if w.halfOfBody {
		_, _ = conn.Write(body[:len(body)/2])
		w.note(note{What: "half answered", Request: id})
		time.Sleep(w.work)
		_, _ = conn.Write(body[len(body)/2:])
	} else {
		_, _ = conn.Write(body)
	}
	w.note(note{What: "answered", Request: id})
	return false
}

// event returns one event of a stream, which names the software version that made it.
func (w *worker) event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, w.software, w.id)
}

func (w *worker) stream(ctx context.Context, conn net.Conn, r *http.Request) bool {
	id := r.Header.Get(attemptName)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fields := "Content-Type: text/event-stream\r\n" + signatureName + ": " + signatureOf(w.id, []byte(id)) + "\r\n"
	if w.unframed {
		fields += "Connection: close\r\n\r\n"
	} else {
		fields += "Transfer-Encoding: chunked\r\n\r\n"
	}
	holdsPart := w.holdsCrashPart(r)
	time.Sleep(w.prefill)
	for n := last + 1; n <= w.events; n++ {
		if holdsPart && n == last+1+w.crashAt {
			w.note(note{What: "crashes", Request: id})
			os.Exit(1)
		}
		select {
		case <-time.After(w.gap):
		case <-ctx.Done():
			w.note(note{What: "caller left", Request: id, Event: n - 1})
			return false
		}
		data := w.event(n)
		if !w.unframed {
			data = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
		}
		if n == last+1 {
			data = w.head(r, http.StatusOK) + fields + data
		}
		if _, err := io.WriteString(conn, data); err != nil {
			return false
		}
		w.note(note{What: "sent", Request: id, Event: n})
	}
	w.note(note{What: "answered", Request: id, Event: w.events})
	if w.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil && !w.leaving.Load()
}

// holdsCrashPart reports whether a request holds the part that crashes workers, other than as its last one.
func (w *worker) holdsCrashPart(r *http.Request) bool {
	entries := strings.Split(r.Header.Get("X-Nutmeglock-Prompt-Prefix"), ",")
	for _, entry := range entries[:len(entries)-1] {
		part, _, _ := strings.Cut(entry, ":")
		if w.crashPart != "" && part == w.crashPart {
			w.note(note{What: "part arrives", Request: r.Header.Get(attemptName)})
			return true
		}
	}
	return false
}

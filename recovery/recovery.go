// Package recovery recovers from panics in a single piece of work and logs them.
//
// A panic in the goroutine of a request or a message doesn't affect the rest of a router,
// and if the process ended, all its callers would lose their answers. A panic in work on
// the state that all requests share is different: the router then runs only as long as it
// needs for an orderly shutdown.
package recovery

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
)

// Part names the part of the router to which work belongs.
type Part string

// The parts whose panics are recovered.
const (
	Request     Part = "request"
	Home        Part = "home"
	Message     Part = "message"
	Update      Part = "update"
	CrashReport Part = "crash-report"
	// Control is work on shared state. A panic in it starts an orderly shutdown.
	Control Part = "control"
)

// maxStack is the maximum length in bytes of the stack in a log line, so that the line
// fits into one atomic write to a pipe.
const maxStack = 3000

// Error is returned for work that panicked.
type Error struct {
	Part Part
	// Value is the argument of the panic.
	Value any
	Stack []byte
}

// Error returns the part and the value.
func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Part, e.Value) }

// Guard recovers from panics. A nil Guard doesn't, so that no panic goes unnoticed.
type Guard struct {
	// Log receives one line per panic.
	Log *slog.Logger
	// OnPanic is called for each panic. It may be nil.
	OnPanic func()
	// Shutdown is called by RunControl after a panic. It must start an orderly shutdown of
	// the process, and may be nil only if RunControl isn't used.
	Shutdown func(err error)
}

// Do runs work of a part and returns *Error if it panicked. The attributes describe the
// work in the log. http.ErrAbortHandler, with which a handler aborts its response, is not
// recovered.
func (g *Guard) Do(part Part, work func() error, attributes ...any) (err error) {
	if g == nil {
		return work()
	}
	defer func() {
		value := recover()
		switch value {
		case nil:
		case http.ErrAbortHandler:
			panic(value)
		default:
			err = g.report(&Error{Part: part, Value: value, Stack: debug.Stack()}, attributes)
		}
	}()
	return work()
}

// Run is like Do for work that returns no error. It reports whether the work panicked.
func (g *Guard) Run(part Part, work func(), attributes ...any) (panicked bool) {
	return g.Do(part, withoutError(work), attributes...) != nil
}

func withoutError(work func()) func() error {
	return func() error {
		work()
		return nil
	}
}

// RunControl runs work on the state that all requests share. If it panics, Shutdown
// is called.
func (g *Guard) RunControl(work func(), attributes ...any) {
	if err := g.Do(Control, withoutError(work), attributes...); err != nil {
		g.Shutdown(err)
	}
}

func (g *Guard) report(e *Error, attributes []any) error {
	if g.OnPanic != nil {
		g.OnPanic()
	}
	stack := string(e.Stack[:min(len(e.Stack), maxStack)])
	g.Log.Error("panic", append([]any{"part", e.Part, "value", fmt.Sprint(e.Value), "stack", stack}, attributes...)...)
	return e
}

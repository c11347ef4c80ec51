// Package recovery ends the one piece of work that panicked, and tells of it.
//
// A panic in the goroutine of a request or of a message says nothing about the rest of a
// router, whose callers would all lose their answers if the process ended. What holds the
// state of all requests together is another matter: a router goes on with it only as long as
// it needs to stop in order.
package recovery

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
)

// Part names what a piece of work belongs to.
type Part string

// The parts whose panics are contained.
const (
	Request Part = "request"
	Home    Part = "home"
	Message Part = "message"
	Update  Part = "update"
	Crash   Part = "crash-report"
	// Control is what ends the process, in order.
	Control Part = "control"
)

// maxStack bounds the stack in a log line, in bytes, so that a pipe takes the line whole.
const maxStack = 3000

// Error is the error of work that panicked.
type Error struct {
	Part Part
	// Value is what the panic was called with.
	Value any
	Stack []byte
}

// Error tells the part and the value.
func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Part, e.Value) }

// Guard contains panics. A nil Guard lets them pass, so that none goes unnoticed.
type Guard struct {
	// Log gets a line for each panic.
	Log *slog.Logger
	// Count is called for each panic, unless it is nil.
	Count func()
	// End is called with a panic in Control that RunControl has contained; it is to stop the
	// process in order, and may not be nil then.
	End func(err error)
}

// Do runs work of a part. It returns *Error if the work panicked. Attributes tell what the work
// was about in the log. http.ErrAbortHandler, by which a handler breaks its answer off, passes.
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
			err = g.note(&Error{Part: part, Value: value, Stack: debug.Stack()}, attributes)
		}
	}()
	return work()
}

// Run is Do for work without an error. It reports whether the work panicked.
func (g *Guard) Run(part Part, work func(), attributes ...any) (panicked bool) {
	return g.Do(part, plain(work), attributes...) != nil
}

func plain(work func()) func() error {
	return func() error {
		work()
		return nil
	}
}

// RunControl runs work on the state that all requests share. After a panic the process ends in
// order.
func (g *Guard) RunControl(work func(), attributes ...any) {
	if err := g.Do(Control, plain(work), attributes...); err != nil {
		g.End(err)
	}
}

func (g *Guard) note(e *Error, attributes []any) error {
	if g.Count != nil {
		g.Count()
	}
	stack := string(e.Stack[:min(len(e.Stack), maxStack)])
	g.Log.Error("panic", append([]any{"part", e.Part, "value", fmt.Sprint(e.Value), "stack", stack}, attributes...)...)
	return e
}

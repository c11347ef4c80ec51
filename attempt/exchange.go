package attempt

import (
	"net/http/httptrace"
	"sync"
)

// exchange collects the Facts of one Client.Do.
type exchange struct {
	bodyBytes int64

	mu            sync.Mutex
	record        *writeRecord
	bodySent      bool
	answerStarted bool
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              e.gotConn,
		WroteRequest:         e.wroteRequest,
		GotFirstResponseByte: e.gotFirstByte,
	}
}

// gotConn records which connection carries the request. If net/http chooses a second
// one after bytes were written to the first, the second is sealed: otherwise the
// request could reach the upstream twice, and an order would be placed twice.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	tracked, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	next := tracked.begin(e.bodyBytes)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record != nil && e.record.seal().Written > 0 {
		next.seal()
		return
	}
	e.record = next
}

func (e *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bodySent = e.bodySent || info.Err == nil
}

func (e *exchange) gotFirstByte() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerStarted = true
}

// close ends the exchange and returns its Facts.
func (e *exchange) close() Facts {
	e.mu.Lock()
	defer e.mu.Unlock()
	facts := Facts{BodySent: e.bodySent, AnswerStarted: e.answerStarted}
	if e.record == nil {
		return facts
	}
	sent := e.record.seal()
	facts.Connected = true
	facts.Written = sent.Written
	facts.HeaderSent = sent.HeaderSent
	return facts
}

package attempt

import (
	"net/http/httptrace"
	"sync"
)

// exchange collects the facts of one Client.Do.
type exchange struct {
	mu         sync.Mutex
	record     *record
	bodyWhole  bool
	answerByte bool
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              e.gotConn,
		WroteRequest:         e.wroteRequest,
		GotFirstResponseByte: e.gotFirstByte,
	}
}

// gotConn notes which connection carries the request. Should net/http choose a
// second one after bytes went out on the first, the second is sealed: the
// request would otherwise reach the upstream twice, which a caller would
// notice as a doubled order.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	tracked, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	next := tracked.begin()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record != nil && e.record.seal().written > 0 {
		next.seal()
		return
	}
	e.record = next
}

func (e *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bodyWhole = e.bodyWhole || info.Err == nil
}

func (e *exchange) gotFirstByte() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerByte = true
}

// close ends the exchange and returns what is known of it.
func (e *exchange) close() Facts {
	e.mu.Lock()
	defer e.mu.Unlock()
	facts := Facts{BodyWhole: e.bodyWhole, AnswerByte: e.answerByte}
	if e.record == nil {
		return facts
	}
	sent := e.record.seal()
	facts.Connected = true
	facts.Written = sent.written
	facts.HeaderWhole = sent.headerWhole
	return facts
}

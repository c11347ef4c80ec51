package home

import (
	"time"

	"nutmeglock.example/nutmeglock/pace"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// load is what an upstream has stated in an answer, until a note takes it to the home. Its zero value is nothing.
type load struct {
	statement pace.Statement
	at        time.Time
}

// attach adds the load to a note, once.
func (l *load) attach(now time.Time, note *schema.TurnNote) *schema.TurnNote {
	if l.statement.Slowdown == 0 {
		return note
	}
	note.SlowdownPercent = l.statement.Slowdown.Percent()
	note.Running, note.Waiting = uint32(l.statement.Running), uint32(l.statement.Waiting)
	note.LoadAgeMs = schema.Millis(now.Sub(l.at))
	*l = load{}
	return note
}

// RecordLoad keeps what the upstream has stated for the next note.
func (t *remoteTicket) RecordLoad(now time.Time, s pace.Statement) {
	if !t.hasEnded {
		t.load = load{s, now}
	}
}

// recordLoad records the load that a note brings. It belongs to the process under whose turn the answer came.
func recordLoad(ticket *turn.Ticket, n *schema.TurnNote) {
	if n.GetSlowdownPercent() == 0 {
		return
	}
	ticket.RecordLoad(time.Now().Add(-schema.Duration(n.GetLoadAgeMs())), pace.Statement{
		HasCounts: true, Running: int(n.GetRunning()), Waiting: int(n.GetWaiting()),
		Slowdown: pace.FromPercent(float64(n.GetSlowdownPercent())),
	})
}

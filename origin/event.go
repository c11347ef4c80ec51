package origin

// Event is what happened to a record at a router, for counters.
type Event string

// The events.
const (
	// Recorded means that a stream began at this router.
	Recorded Event = "recorded"
	// Unheld means that no other router was connected that could hold the record.
	Unheld Event = "unheld"
	// CopySent means that a copy was queued for another router.
	CopySent Event = "copy-sent"
	// CopyMoved means that a copy was queued for a router that has become a holder since the stream began, or has connected again.
	CopyMoved Event = "copy-moved"
	// CopyReceived means that a copy of another router's record has arrived.
	CopyReceived Event = "copy-received"
	// TakenOver means that this router chooses the holders from now on, as the router that did so is lost.
	TakenOver Event = "taken-over"
)

// Events returns all events, for counters that start at zero.
func Events() []Event { return []Event{Recorded, Unheld, CopySent, CopyMoved, CopyReceived, TakenOver} }

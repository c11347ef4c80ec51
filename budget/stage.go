package budget

// Stage is what happens on a caller's connection.
type Stage int

// The stages. A new connection is in stage Head.
const (
	// Head means that the head of a request is awaited, or has come in part.
	Head Stage = iota
	// Body means that the head is whole and the body isn't.
	Body
	// Serving means that the whole request is in hand. Its connection isn't evicted.
	Serving
	// Sending means that an answer is written to the caller.
	Sending
	// Idle means that the connection waits for another request.
	Idle
	// Closing means that the connection stays open only for the caller to read its last answer.
	Closing

	stageCount = iota
)

// String returns the name of the stage, as it appears in metrics.
func (s Stage) String() string {
	return [stageCount]string{"head", "body", "serving", "sending", "idle", "closing"}[s]
}

// Stages returns all stages.
func Stages() []Stage { return []Stage{Head, Body, Serving, Sending, Idle, Closing} }

// Resource is what a Pool, or a connection, is short of.
type Resource string

// The resources.
const (
	Memory      Resource = "memory"
	Connections Resource = "connections"
	Time        Resource = "time"
)

// Resources returns all resources.
func Resources() []Resource { return []Resource{Memory, Connections, Time} }

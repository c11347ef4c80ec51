package socket

// SendQueue is the state of what was written to a connection. Its zero value is also that of a system that doesn't tell.
type SendQueue struct {
	// Acknowledged counts the bytes that the peer has acknowledged so far.
	Acknowledged uint64
	// IsPending is true while written bytes aren't acknowledged.
	IsPending bool
	// IsClosed is true once the connection was reset or has timed out, so that nothing more is acknowledged.
	IsClosed bool
}

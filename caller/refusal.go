package caller

import (
	"time"

	"nutmeglock.example/nutmeglock/refusal"
)

// RefuseMemory returns the refusal of a request whose body found no memory, for an error of which IsShortOfMemory is true.
func RefuseMemory(cause error, retryAfter time.Duration) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.CallersHoldMemory, Outcome: refusal.NotRun, Detail: "callers hold too much of this router's memory",
		RetryAfter: retryAfter, Cause: cause,
	}
}

// RefuseConnection returns the refusal of a request that a Lease doesn't admit.
func RefuseConnection(cause error, retryAfter time.Duration) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.CallersHoldConnections, Outcome: refusal.NotRun, Detail: "too many requests of the account are in hand",
		RetryAfter: retryAfter, Cause: cause,
	}
}

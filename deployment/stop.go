package deployment

import (
	"context"
	"time"
)

const (
	// readinessNoticeTime is how long the balancer may take to notice that a router is no
	// longer ready: two checks a second apart, plus network delay. Until then it sends new
	// connections here, and they are served.
	readinessNoticeTime = 2200 * time.Millisecond
	// exitMargin is the part of the grace time that is reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// cutOffTime bounds the time that requests take to end after they were cut off. It is part
	// of exitMargin.
	cutOffTime = 100 * time.Millisecond
	// lastAnswerDelay is the time for the last answers to reach their callers before the
	// connections close.
	lastAnswerDelay = 60 * time.Millisecond
)

// stop shuts the router down in steps. It reports that it isn't ready, closes callers'
// connections after their answers so that they connect elsewhere, then refuses new requests as not run, and
// waits for the requests in flight.
//
// The listener and idle connections stay open until the end. If the listener closed at once,
// callers that the balancer still sends here could not connect. If idle connections closed,
// a request that had just been read from one would run, and its caller would never get the
// answer.
func (r *Router) stop() {
	start := time.Now()
	r.stopping.Store(true)
	r.handler.DisableKeepAlives()
	r.options.Log.Info("stopping", "in-hand", r.handler.InFlight(), "grace-ms", r.options.StopGrace.Milliseconds())
	r.withdraw()
	time.Sleep(time.Until(start.Add(readinessNoticeTime)))
	r.handler.RefuseNew()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(r.options.StopGrace-exitMargin))
	defer cancel()
	err := r.handler.Wait(ctx)
	time.Sleep(min(lastAnswerDelay, time.Until(start.Add(r.options.StopGrace-exitMargin))))
	r.options.Log.Info("requests ended", "in-hand", r.handler.InFlight(), "took-ms", time.Since(start).Milliseconds(), "error", err)
}

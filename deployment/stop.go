package deployment

import (
	"context"
	"time"
)

const (
	// noticeTime is how long the balancer may take to notice that a router is no
	// longer ready: two questions a second apart and the way. Until then it sends
	// new connections here, and they are served.
	noticeTime = 2200 * time.Millisecond
	// exitMargin is kept of the grace for the end of the process.
	exitMargin = 400 * time.Millisecond
	// cutOffTime bounds how long requests that are cut off may take to end. It is part of
	// exitMargin.
	cutOffTime = 100 * time.Millisecond
	// linger lets the last answers reach their callers before connections close.
	linger = 60 * time.Millisecond
)

// stop ends the router in steps: it stops being ready, asks its callers to
// connect elsewhere while it still serves them, then refuses what is new as not
// run, and waits for what it has in hand.
//
// The address and idle connections stay open until the end. Were the address
// closed at once, a caller that the balancer still sends here would find nobody.
// Were idle connections closed, a request might just have been read from one of
// them; it would be run, and its caller would never see the answer.
func (r *Router) stop() {
	begin := time.Now()
	r.stopping.Store(true)
	r.handler.Leave()
	r.options.Log.Info("stopping", "in-hand", r.handler.InHand(), "grace-ms", r.options.Grace.Milliseconds())
	r.withdraw()
	time.Sleep(time.Until(begin.Add(noticeTime)))
	r.handler.Refuse()
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(r.options.Grace-exitMargin))
	defer cancel()
	err := r.handler.Wait(ctx)
	time.Sleep(min(linger, time.Until(begin.Add(r.options.Grace-exitMargin))))
	r.options.Log.Info("requests ended", "in-hand", r.handler.InHand(), "took-ms", time.Since(begin).Milliseconds(), "error", err)
}

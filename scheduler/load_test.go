package scheduler_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// reporting answers polls for load in place of the upstreams.
type reporting struct {
	draining atomic.Bool
	down     atomic.Bool
	polls    atomic.Int64
}

func (r *reporting) RoundTrip(request *http.Request) (*http.Response, error) {
	r.polls.Add(1)
	if r.down.Load() {
		return nil, io.ErrUnexpectedEOF
	}
	body := fmt.Sprintf(`{"running":0,"queued":0,"cache-used":0.5,"at-unix-ms":%d,"draining":%t}`,
		time.Now().UnixMilli(), r.draining.Load())
	return &http.Response{
		StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: make(http.Header), Request: request,
	}, nil
}

// An upstream is to be replaced and says in its load report that it drains.
// Nobody tells the routers otherwise. It must get no new work after a few
// seconds, and none either when its reports stop after that.
func TestUpstreamThatReportsDrainingGetsNoWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		upstream := &reporting{}
		f := newFleet(t, viewOf(1, 1, 4))
		f.client = &http.Client{Transport: upstream}
		f.start("router-0", 1)
		defer f.stopAll()
		f.load("router-0", "account-0", 4, time.Second)
		time.Sleep(5500 * time.Millisecond)
		f.full(4)
		// While its limit is being learnt it is polled four times a second.
		require.GreaterOrEqual(t, upstream.polls.Load(), int64(15))
		upstream.draining.Store(true)
		time.Sleep(4 * time.Second)
		require.Zero(t, f.ups.total())
		upstream.down.Store(true)
		time.Sleep(time.Minute)
		require.Zero(t, f.ups.total())
	})
}

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

// loadReporter answers load polls in place of the upstreams.
type loadReporter struct {
	draining atomic.Bool
	down     atomic.Bool
	polls    atomic.Int64
}

func (r *loadReporter) RoundTrip(request *http.Request) (*http.Response, error) {
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

// An upstream that is to be replaced reports draining in its load report only. It
// must get no new requests after a few seconds, even if its reports then stop.
func TestUpstreamThatReportsDrainingGetsNoWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		reporter := &loadReporter{}
		f := newFleet(t, newView(1, 1, 4))
		f.pollClient = &http.Client{Transport: reporter}
		f.start("router-0", 1)
		defer f.stopAll()
		f.keepLoad("router-0", "account-0", 4, time.Second)
		time.Sleep(5500 * time.Millisecond)
		f.requireFull(4)
		// During the ramp it is polled four times a second.
		require.GreaterOrEqual(t, reporter.polls.Load(), int64(15))
		reporter.draining.Store(true)
		time.Sleep(4 * time.Second)
		require.Zero(t, f.upstreams.totalRunning())
		reporter.down.Store(true)
		time.Sleep(time.Minute)
		require.Zero(t, f.upstreams.totalRunning())
	})
}

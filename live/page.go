package live

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "writing the report")
}

// WritePage writes the report as a Markdown page.
func (r Report) WritePage(w io.Writer) error {
	if _, err := fmt.Fprintf(w, pageHead, r.Routers, r.Engines, r.Batch, r.Seconds, 1/r.TimeScale); err != nil {
		return eris.Wrap(err, "writing the page")
	}
	for _, result := range r.Results {
		if _, err := fmt.Fprintf(w, pageRow, result.Load, result.Policy, result.Gap, result.GapMultiple, result.LaterGapMultiple,
			result.Utilisation, result.FirstByteP50, result.FirstByteP99, result.SmallAccountP99, result.TokensPerSecond,
			result.Control["peer"], result.Control["upstream"], result.Control["platform"],
			result.PeerBytesPerRequest, result.answers()); err != nil {
			return eris.Wrap(err, "writing the page")
		}
	}
	return nil
}

const pageHead = `# Sharing, measured on real routers

Made by ` + "`nutmeglock measure`" + `: %d routers, %d engine stand-ins with a batch of %d, all in one process on
loopback, %.0f s a run, engines %.0f times as fast as real ones. Times are real milliseconds. The figures depend on the
machine and differ a little from run to run; those of the model in [sharing.md](sharing.md) don't.
The gap is the largest difference in weighted tokens between two accounts over any interval in which both had
work waiting, and as a multiple of the largest request's cost. Utilisation is the used part of the batches
while a request had waited for over 10 ms. Control is bytes sent a second and router.
The widest gaps lie in the first seconds, in which the limits of the upstreams are still being learnt from load
reports; the second half of a run shows what follows.

| load | policy | gap, tokens | × largest | second half × | utilisation | first byte p50, ms | p99, ms | account 1 p99, ms | tokens/s | to peers, B/s | to upstreams, B/s | to platform, B/s | peer B/request | answers |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

const pageRow = "| %s | %s | %.0f | %.2f | %.2f | %.3f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %s |\n"

func (r Result) answers() string {
	text, err := json.Marshal(r.Answers)
	if err != nil {
		return ""
	}
	return string(text)
}

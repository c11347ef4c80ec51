package scenario

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// loadPrompts is the number of different prompts that a load sends.
const loadPrompts = 8

// load is a continuous load from several callers. As with a load balancer, each
// call goes to the next router that is ready.
type load struct {
	script   *script
	routers  []*process
	account  string
	service  string
	upstream *process
	plain    bool
	tokens   int
	name     string
	// stubborn callers also repeat calls that may have been run, with the same key.
	stubborn bool

	nextIndex   atomic.Int64
	stopped     atomic.Bool
	callerGroup sync.WaitGroup

	mu             sync.Mutex
	expected       map[string]string
	answered       []string
	unknownOutcome []string
	retries        int
	failures       []error
}

// startLoad starts callers in the background. Each makes one call after the
// other, and repeats calls that were refused as not run:
//
//	load NAME ACCOUNT SERVICE UPSTREAM routers=NAME,... [callers=4] [tokens=20] [stubborn=yes]
//
// The expected answers are those of the upstream to direct calls. Stubborn
// callers of a plain service also repeat, with the same key, a call whose
// connection broke, and accept outcome-unknown as an answer the second time.
func startLoad(s *script, a arguments) error {
	if err := a.requirePositional(4, "load NAME ACCOUNT SERVICE UPSTREAM"); err != nil {
		return err
	}
	if err := a.allowOptions("routers", "callers", "tokens", "stubborn"); err != nil {
		return err
	}
	callers, err := a.intOption("callers", 4)
	if err != nil {
		return err
	}
	l := &load{script: s, name: a.positional[0], account: a.positional[1], service: a.positional[2], expected: map[string]string{}}
	if l.tokens, err = a.intOption("tokens", 20); err != nil {
		return err
	}
	if l.upstream, err = s.findProcess(a.positional[3]); err != nil {
		return err
	}
	for _, name := range a.listOption("routers") {
		p, err := s.findProcess(name)
		if err != nil {
			return err
		}
		l.routers = append(l.routers, p)
	}
	l.plain = l.upstream.kind == applicationKind
	l.stubborn = a.options["stubborn"] == "yes"
	if err := l.fetchExpected(); err != nil {
		return err
	}
	s.loads[l.name] = l
	for i := range callers {
		l.callerGroup.Go(func() { l.runCaller(i) })
	}
	return nil
}

// fetchExpected gets the expected answers to a model's prompts by direct calls
// to the upstream.
func (l *load) fetchExpected() error {
	for i := range loadPrompts {
		if l.plain {
			return nil
		}
		body := l.requestBody(i)
		r := l.script.send(request{method: http.MethodPost, url: "http://" + l.upstream.address + "/v1/chat/completions", body: body})
		if r.err != nil || r.status != http.StatusOK {
			return fmt.Errorf("calling %s directly: status %d: %w", l.upstream.name, r.status, r.err)
		}
		l.expected[body] = r.body
	}
	return nil
}

// requestBody returns the body of a caller's nth call.
func (l *load) requestBody(n int) string {
	if l.plain {
		return `{"order":` + strconv.Itoa(n) + `}`
	}
	return chatBody(l.service, "load "+strconv.Itoa(n%loadPrompts), l.tokens, n%2 == 0)
}

// runCaller makes one call after the other until the load is stopped. number
// identifies the caller.
func (l *load) runCaller(number int) {
	for n := 0; !l.stopped.Load(); n++ {
		key := fmt.Sprintf("%s-%d-%d", l.name, number, n)
		if err := l.callUntilFinal(key, l.requestBody(n)); err != nil {
			l.mu.Lock()
			l.failures = append(l.failures, fmt.Errorf("call %s: %w", key, err))
			l.mu.Unlock()
		}
	}
}

// callUntilFinal makes one call, and repeats it while checkReply requires it or,
// if the caller is stubborn, once after an unknown outcome.
func (l *load) callUntilFinal(key, body string) error {
	deadline := time.Now().Add(waitTimeout)
	unknown := false
	for {
		p := l.nextRouter()
		r := l.script.send(l.routerRequest(p, key, body))
		if l.stubborn && !unknown && strings.Contains(r.body, `"outcome-unknown"`) {
			unknown = true
			continue
		}
		repeat, err := l.checkReply(key, body, r)
		if !repeat {
			if err != nil {
				return fmt.Errorf("through %s: %w", p.name, err)
			}
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("through %s: still not run: %d %s %w", p.name, r.status, r.body, r.err)
		}
		l.mu.Lock()
		l.retries++
		l.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// nextRouter returns the next router that is ready or, if none is, the next one.
func (l *load) nextRouter() *process {
	for range len(l.routers) {
		p := l.routers[int(l.nextIndex.Add(1))%len(l.routers)]
		if l.script.expectStatus(p.admin, "/readyz", http.StatusOK) == nil {
			return p
		}
	}
	return l.routers[int(l.nextIndex.Add(1))%len(l.routers)]
}

func (l *load) routerRequest(p *process, key, body string) request {
	r := request{
		method: http.MethodPost, url: "http://" + p.address + "/v1/chat/completions",
		body: body, key: l.account + keySuffix,
	}
	if l.plain {
		r.url = "http://" + p.address + "/v1/services/" + l.service + "/orders"
		r.header = http.Header{"Idempotency-Key": {key}}
	}
	return r
}

// checkReply reports whether a call has to be repeated, or else returns an error
// if its answer is wrong.
func (l *load) checkReply(key, body string, r reply) (repeat bool, err error) {
	var opError *net.OpError
	switch {
	case r.err != nil && errors.As(r.err, &opError) && opError.Op == "dial":
		return true, nil
	case r.err != nil && l.stubborn && l.plain:
		return true, nil
	case r.err != nil:
		return false, fmt.Errorf("the connection broke after %d bytes: %w", len(r.body), r.err)
	case r.status != http.StatusOK && strings.Contains(r.body, `"not-run"`):
		return true, nil
	case l.stubborn && strings.Contains(r.body, `"outcome-unknown"`):
		l.addKey(&l.unknownOutcome, key)
		return false, nil
	case r.status != http.StatusOK:
		return false, fmt.Errorf("status %d: %s", r.status, r.body)
	case !l.plain && r.body != l.expected[body]:
		return false, fmt.Errorf("the answer differs from that of %s:\n%s", l.upstream.name, r.body)
	}
	l.addKey(&l.answered, key)
	return false, nil
}

func (l *load) addKey(keys *[]string, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*keys = append(*keys, key)
}

func (l *load) stop() {
	l.stopped.Store(true)
	l.callerGroup.Wait()
}

// progress waits until a load has received N more answers:
//
//	progress NAME N
func progress(s *script, a arguments) error {
	if err := a.requirePositional(2, "progress NAME N"); err != nil {
		return err
	}
	l, ok := s.loads[a.positional[0]]
	if !ok {
		return fmt.Errorf("no load %q was started", a.positional[0])
	}
	more, err := strconv.Atoi(a.positional[1])
	if err != nil {
		return err
	}
	expected := l.answeredCount() + more
	return poll("answers", func() error {
		if found := l.answeredCount(); found < expected {
			return fmt.Errorf("%d calls were answered, expected %d", found, expected)
		}
		return nil
	})
}

func (l *load) answeredCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answered)
}

// endLoad stops a load and checks that every call got a complete answer. For a
// plain service it also checks that each answered call was run once, and that
// none was run twice:
//
//	unload NAME [least=CALLS]
func endLoad(s *script, a arguments) error {
	if err := a.requirePositional(1, "unload NAME"); err != nil {
		return err
	}
	least, err := a.intOption("least", 1)
	if err != nil {
		return err
	}
	l, ok := s.loads[a.positional[0]]
	if !ok {
		return fmt.Errorf("no load %q was started", a.positional[0])
	}
	l.stop()
	s.log.Log(fmt.Sprintf("load %s: %d answered, %d of unknown outcome, %d repeats, %d failed",
		l.name, len(l.answered), len(l.unknownOutcome), l.retries, len(l.failures)))
	if len(l.failures) > 0 {
		return fmt.Errorf("%d of %d calls failed; the first ones: %w",
			len(l.failures), len(l.failures)+len(l.answered), errors.Join(l.failures[:min(3, len(l.failures))]...))
	}
	if len(l.answered) < least {
		return fmt.Errorf("only %d calls were answered, expected %d", len(l.answered), least)
	}
	if l.plain {
		return l.checkRuns()
	}
	return nil
}

// checkRuns checks that each answered call was run once and no call twice.
func (l *load) checkRuns() error {
	counts, err := l.script.runCounts(l.upstream.name)
	if err != nil {
		return err
	}
	for _, key := range l.answered {
		if counts[key] != 1 {
			return fmt.Errorf("%s was answered and run %d times", key, counts[key])
		}
	}
	for key, n := range counts {
		if n > 1 {
			return fmt.Errorf("%s was run %d times", key, n)
		}
	}
	return nil
}

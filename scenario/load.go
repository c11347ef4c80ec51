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

// loadPrompts is how many different prompts a load asks.
const loadPrompts = 8

// load is steady work from several callers at once, through a balancer of the
// script's own: each call goes to the next router that is ready.
type load struct {
	world    *World
	routers  []*process
	account  string
	service  string
	upstream *process
	plain    bool
	tokens   int
	name     string
	// stubborn callers repeat also what may have been run, with the same key.
	stubborn bool

	next    atomic.Int64
	stopped atomic.Bool
	group   sync.WaitGroup

	mu       sync.Mutex
	expected map[string]string
	answered []string
	unknown  []string
	repeats  int
	faults   []error
}

// startLoad starts callers in the background, which ask one after the other
// and repeat what was refused as not run:
//
//	load NAME ACCOUNT SERVICE UPSTREAM routers=NAME,... [callers=4] [tokens=20] [stubborn=yes]
//
// The upstream tells what the right answers are. Stubborn callers of a plain
// service also repeat, with the same key, a call whose connection broke, and
// take outcome-unknown for an answer the second time.
func startLoad(w *World, a arguments) error {
	if err := a.need(4, "load NAME ACCOUNT SERVICE UPSTREAM"); err != nil {
		return err
	}
	if err := a.allow("routers", "callers", "tokens", "stubborn"); err != nil {
		return err
	}
	callers, err := a.number("callers", 4)
	if err != nil {
		return err
	}
	l := &load{world: w, name: a.words[0], account: a.words[1], service: a.words[2], expected: map[string]string{}}
	if l.tokens, err = a.number("tokens", 20); err != nil {
		return err
	}
	if l.upstream, err = w.find(a.words[3]); err != nil {
		return err
	}
	for _, name := range a.list("routers") {
		p, err := w.find(name)
		if err != nil {
			return err
		}
		l.routers = append(l.routers, p)
	}
	l.plain = l.upstream.kind == applicationKind
	l.stubborn = a.options["stubborn"] == "yes"
	if err := l.learn(); err != nil {
		return err
	}
	w.loads[l.name] = l
	for i := range callers {
		l.group.Go(func() { l.caller(i) })
	}
	return nil
}

// learn asks the upstream itself for the answers to a model's prompts.
func (l *load) learn() error {
	for i := range loadPrompts {
		if l.plain {
			return nil
		}
		body := l.body(i)
		r := l.world.send(request{method: http.MethodPost, url: "http://" + l.upstream.address + "/v1/chat/completions", body: body})
		if r.err != nil || r.status != http.StatusOK {
			return fmt.Errorf("asking %s: %d %w", l.upstream.name, r.status, r.err)
		}
		l.expected[body] = r.body
	}
	return nil
}

func (l *load) body(n int) string {
	if l.plain {
		return `{"order":` + strconv.Itoa(n) + `}`
	}
	return chatBody(l.service, "load "+strconv.Itoa(n%loadPrompts), l.tokens, n%2 == 0)
}

// caller makes one call after the other until the load is stopped.
func (l *load) caller(number int) {
	for n := 0; !l.stopped.Load(); n++ {
		key := fmt.Sprintf("%s-%d-%d", l.name, number, n)
		if err := l.ask(key, l.body(n)); err != nil {
			l.mu.Lock()
			l.faults = append(l.faults, fmt.Errorf("call %s: %w", key, err))
			l.mu.Unlock()
		}
	}
}

// ask makes one call, and repeats it only while it certainly was not run.
func (l *load) ask(key, body string) error {
	deadline := time.Now().Add(patience)
	unknown := false
	for {
		p := l.pick()
		r := l.world.send(l.request(p, key, body))
		if l.stubborn && !unknown && strings.Contains(r.body, `"outcome-unknown"`) {
			unknown = true
			continue
		}
		again, err := l.judge(key, body, r)
		if !again {
			if err != nil {
				return fmt.Errorf("through %s: %w", p.name, err)
			}
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("through %s: still not run: %d %s %w", p.name, r.status, r.body, r.err)
		}
		l.mu.Lock()
		l.repeats++
		l.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// pick returns the next router that says it is ready, as a balancer does.
func (l *load) pick() *process {
	for range len(l.routers) {
		p := l.routers[int(l.next.Add(1))%len(l.routers)]
		if l.world.expectStatus(p.admin, "/readyz", http.StatusOK) == nil {
			return p
		}
	}
	return l.routers[int(l.next.Add(1))%len(l.routers)]
}

func (l *load) request(p *process, key, body string) request {
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

// judge says whether a call is to be repeated, or what is wrong with its answer.
func (l *load) judge(key, body string, r reply) (again bool, err error) {
	var dial *net.OpError
	switch {
	case r.err != nil && errors.As(r.err, &dial) && dial.Op == "dial":
		return true, nil
	case r.err != nil && l.stubborn && l.plain:
		return true, nil
	case r.err != nil:
		return false, fmt.Errorf("the connection broke after %d bytes: %w", len(r.body), r.err)
	case r.status != http.StatusOK && strings.Contains(r.body, `"not-run"`):
		return true, nil
	case l.stubborn && strings.Contains(r.body, `"outcome-unknown"`):
		l.note(&l.unknown, key)
		return false, nil
	case r.status != http.StatusOK:
		return false, fmt.Errorf("status %d: %s", r.status, r.body)
	case !l.plain && r.body != l.expected[body]:
		return false, fmt.Errorf("the answer differs from that of %s:\n%s", l.upstream.name, r.body)
	}
	l.note(&l.answered, key)
	return false, nil
}

func (l *load) note(keys *[]string, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*keys = append(*keys, key)
}

func (l *load) stop() {
	l.stopped.Store(true)
	l.group.Wait()
}

// progress waits until a load has had a number of answers more than now:
//
//	progress NAME N
func progress(w *World, a arguments) error {
	if err := a.need(2, "progress NAME N"); err != nil {
		return err
	}
	l, ok := w.loads[a.words[0]]
	if !ok {
		return fmt.Errorf("the script has started no load %q", a.words[0])
	}
	more, err := strconv.Atoi(a.words[1])
	if err != nil {
		return err
	}
	wanted := l.count() + more
	return poll("answers", func() error {
		if found := l.count(); found < wanted {
			return fmt.Errorf("%d calls were answered, expected %d", found, wanted)
		}
		return nil
	})
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answered)
}

// endLoad stops a load and checks that each call was answered whole, that each
// answered one of a plain service was run once, and no other one twice:
//
//	unload NAME [least=CALLS]
func endLoad(w *World, a arguments) error {
	if err := a.need(1, "unload NAME"); err != nil {
		return err
	}
	least, err := a.number("least", 1)
	if err != nil {
		return err
	}
	l, ok := w.loads[a.words[0]]
	if !ok {
		return fmt.Errorf("the script has started no load %q", a.words[0])
	}
	l.stop()
	w.log.Log(fmt.Sprintf("load %s: %d answered, %d of unknown outcome, %d repeats, %d failed",
		l.name, len(l.answered), len(l.unknown), l.repeats, len(l.faults)))
	if len(l.faults) > 0 {
		return fmt.Errorf("%d of %d calls failed; the first ones: %w",
			len(l.faults), len(l.faults)+len(l.answered), errors.Join(l.faults[:min(3, len(l.faults))]...))
	}
	if len(l.answered) < least {
		return fmt.Errorf("only %d calls were answered, expected %d", len(l.answered), least)
	}
	if l.plain {
		return l.checkRuns()
	}
	return nil
}

func (l *load) checkRuns() error {
	counts, err := l.world.counts(l.upstream.name)
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

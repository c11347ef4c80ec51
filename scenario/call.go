package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// expectations are the options that a reply is checked by.
var expectations = []string{"status", "reason", "outcome", "retry-after", "equal", "contains", "header", "broken", "refused"}

// callOptions are the options of a call besides the expectations.
var callOptions = []string{"as", "stream", "tokens", "key", "timeout-ms", "non-idempotent", "resumable"}

func (a arguments) allowCall() error { return a.allow(append(callOptions, expectations...)...) }

// chat asks a model through a router as an account. With stream=yes the answer
// is streamed. With as=NAME it goes on in the background until join:
//
//	chat ROUTER ACCOUNT SERVICE PROMPT [stream=yes] [tokens=20] [as=NAME] [key=TEXT]
//	  [timeout-ms=N] [non-idempotent=yes] [resumable=yes] [EXPECTATION...]
//
// The expectations, of which status=200 holds when none is given:
//
//	status=N reason=NAME outcome=NAME retry-after=yes contains=TEXT header=NAME:VALUE
//	equal=UPSTREAM  the body is what the upstream itself answers, byte for byte
//	broken=yes      the connection breaks before the answer is whole
//	refused=yes     no connection can be made
func chat(w *World, a arguments) error {
	if err := a.need(4, "chat ROUTER ACCOUNT SERVICE PROMPT"); err != nil {
		return err
	}
	tokens, err := a.number("tokens", 20)
	if err != nil {
		return err
	}
	body := chatBody(a.words[2], a.words[3], tokens, a.options["stream"] == "yes")
	direct := request{method: http.MethodPost, url: "/v1/chat/completions", body: body}
	return w.call(a, direct.url, direct)
}

func chatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"min_tokens":%d,"max_tokens":%d,"stream":%t}`,
		model, prompt, tokens, tokens, stream)
}

// callService calls a plain service through a router as an account:
//
//	call ROUTER ACCOUNT SERVICE METHOD PATH [BODY] [key=TEXT] [as=NAME] ... [EXPECTATION...]
func callService(w *World, a arguments) error {
	if err := a.need(5, "call ROUTER ACCOUNT SERVICE METHOD PATH [BODY]"); err != nil {
		return err
	}
	direct := request{method: a.words[3], url: a.words[4]}
	if len(a.words) > 5 {
		direct.body = a.words[5]
	}
	return w.call(a, "/v1/services/"+a.words[2]+a.words[4], direct)
}

// call sends direct to a path of the router that the first word names.
func (w *World) call(a arguments, path string, direct request) error {
	if err := a.allowCall(); err != nil {
		return err
	}
	p, err := w.find(a.words[0])
	if err != nil {
		return err
	}
	x := &exchange{request: direct, direct: direct}
	x.request.url = "http://" + p.address + path
	x.request.key = a.words[1] + keySuffix
	x.request.header = a.header()
	w.begin(x)
	if name, ok := a.options["as"]; ok {
		w.calls[name] = x
		return nil
	}
	return w.check(x, a, x.wait())
}

func (a arguments) header() http.Header {
	header := http.Header{}
	names := map[string]string{
		"key": "Idempotency-Key", "timeout-ms": "nutmeglock-timeout-ms",
	}
	for name, text := range names {
		if value, ok := a.options[name]; ok {
			header.Set(text, value)
		}
	}
	for _, name := range []string{"non-idempotent", "resumable"} {
		if a.options[name] == "yes" {
			header.Set("nutmeglock-"+name, "true")
		}
	}
	return header
}

// join waits for the end of a call in the background and checks its reply:
//
//	join NAME [EXPECTATION...]
func join(w *World, a arguments) error {
	if err := a.need(1, "join NAME"); err != nil {
		return err
	}
	if err := a.allow(expectations...); err != nil {
		return err
	}
	x, err := w.background(a.words[0])
	if err != nil {
		return err
	}
	return w.check(x, a, x.wait())
}

func (w *World) background(name string) (*exchange, error) {
	x, ok := w.calls[name]
	if !ok {
		return nil, fmt.Errorf("the script has made no call as=%s", name)
	}
	return x, nil
}

// events waits until a streamed call in the background has a number of events:
//
//	events NAME N
func events(w *World, a arguments) error {
	if err := a.need(2, "events NAME N"); err != nil {
		return err
	}
	x, err := w.background(a.words[0])
	if err != nil {
		return err
	}
	expected, err := strconv.Atoi(a.words[1])
	if err != nil {
		return err
	}
	return poll("events", func() error {
		_, last, err := wholeEvents(x.sofar().body)
		if err == nil && last < expected {
			err = fmt.Errorf("event %d is the last so far: %+v", last, x.sofar())
		}
		return err
	})
}

// cut breaks the connection of a call in the background from the caller's side:
//
//	cut NAME
func cut(w *World, a arguments) error {
	if err := a.need(1, "cut NAME"); err != nil {
		return err
	}
	x, err := w.background(a.words[0])
	if err != nil {
		return err
	}
	x.cancel()
	<-x.done
	return nil
}

// resume resumes a broken stream through a router, as an account, after the
// last whole event. The expectations are for both parts together:
//
//	resume ROUTER ACCOUNT NAME [as=NAME] [EXPECTATION...]
func resume(w *World, a arguments) error {
	if err := a.need(3, "resume ROUTER ACCOUNT NAME"); err != nil {
		return err
	}
	if err := a.allowCall(); err != nil {
		return err
	}
	p, err := w.find(a.words[0])
	if err != nil {
		return err
	}
	first, err := w.background(a.words[2])
	if err != nil {
		return err
	}
	head := first.sofar()
	token := head.header.Get("nutmeglock-resume-token")
	if token == "" {
		return fmt.Errorf("the first answer carries no resume token: %+v", head)
	}
	text, last, err := wholeEvents(head.body)
	if err != nil {
		return err
	}
	path := "/v1/streams/" + url.PathEscape(token) + "?after=" + strconv.Itoa(last)
	x := &exchange{
		request: request{method: http.MethodGet, url: "http://" + p.address + path, key: a.words[1] + keySuffix},
		direct:  first.direct,
	}
	w.begin(x)
	r := x.wait()
	if r.status == http.StatusOK {
		r.body = text + r.body
	}
	return w.check(x, a, r)
}

// check compares a reply with the expectations.
func (w *World) check(x *exchange, a arguments, r reply) error {
	if done, err := checkBreak(a, r); done {
		return err
	}
	if err := checkHead(a, r); err != nil {
		return err
	}
	if text := a.options["contains"]; !strings.Contains(r.body, text) {
		return fmt.Errorf("the body does not contain %q: %s", text, r.body)
	}
	if err := checkRefusal(a, r); err != nil {
		return err
	}
	if upstream, ok := a.options["equal"]; ok {
		return w.checkEqual(x.direct, upstream, r)
	}
	return nil
}

// checkBreak reports whether a broken connection settles the check.
func checkBreak(a arguments, r reply) (bool, error) {
	switch {
	case a.options["refused"] == "yes":
		if r.err == nil || r.status != 0 {
			return true, fmt.Errorf("the call was answered with %d", r.status)
		}
		return true, nil
	case a.options["broken"] == "yes":
		if r.err == nil {
			return true, fmt.Errorf("the connection did not break: %d %s", r.status, r.body)
		}
		return true, nil
	case r.err != nil:
		return true, fmt.Errorf("the connection broke: %w", r.err)
	default:
		return false, nil
	}
}

func checkHead(a arguments, r reply) error {
	status, err := a.number("status", http.StatusOK)
	if err != nil {
		return err
	}
	if r.status != status {
		return fmt.Errorf("status %d, expected %d: %s", r.status, status, r.body)
	}
	if a.options["retry-after"] == "yes" && r.header.Get("Retry-After") == "" {
		return errors.New("the answer has no Retry-After")
	}
	if r.header.Get("nutmeglock-request-id") == "" {
		return errors.New("the answer has no nutmeglock-request-id")
	}
	if text, ok := a.options["header"]; ok {
		name, value, _ := strings.Cut(text, ":")
		if found := r.header.Get(name); found != value {
			return fmt.Errorf("header %s is %q, expected %q", name, found, value)
		}
	}
	return nil
}

func checkRefusal(a arguments, r reply) error {
	var body struct {
		Error struct {
			Reason  string `json:"reason"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	reason, hasReason := a.options["reason"]
	outcome, hasOutcome := a.options["outcome"]
	if !hasReason && !hasOutcome {
		return nil
	}
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		return fmt.Errorf("the answer is no refusal: %s", r.body)
	}
	if hasReason && body.Error.Reason != reason || hasOutcome && body.Error.Outcome != outcome {
		return fmt.Errorf("reason %q and outcome %q: %s", body.Error.Reason, body.Error.Outcome, r.body)
	}
	return nil
}

// directKey begins the idempotency keys of calls that a script makes to an
// upstream itself, which are no runs of the fleet.
const directKey = "direct-"

// checkEqual compares a body with what an upstream itself answers.
func (w *World) checkEqual(direct request, upstream string, r reply) error {
	p, err := w.find(upstream)
	if err != nil {
		return err
	}
	w.directs++
	direct.url = "http://" + p.address + direct.url
	direct.header = http.Header{"Idempotency-Key": {directKey + strconv.Itoa(w.directs)}}
	expected := w.send(direct)
	if expected.err != nil {
		return expected.err
	}
	if expected.status != r.status || expected.body != r.body {
		return fmt.Errorf("the answer differs from that of %s:\n%d %s\nexpected:\n%d %s",
			upstream, r.status, r.body, expected.status, expected.body)
	}
	return nil
}

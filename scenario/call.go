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

// expectations are the options against which a reply is checked.
var expectations = []string{"status", "reason", "outcome", "retry-after", "equal", "contains", "header", "broken", "refused"}

// callOptions are the options of a call other than expectations.
var callOptions = []string{"as", "stream", "tokens", "key", "timeout-ms", "non-idempotent", "resumable"}

func (a arguments) allowCallOptions() error {
	return a.allowOptions(append(callOptions, expectations...)...)
}

// chat sends a chat request to a model through a router as an account. With
// stream=yes the answer is streamed. With as=NAME the call runs in the
// background until join:
//
//	chat ROUTER ACCOUNT SERVICE PROMPT [stream=yes] [tokens=20] [as=NAME] [key=TEXT]
//	  [timeout-ms=N] [non-idempotent=yes] [resumable=yes] [EXPECTATION...]
//
// The expectations, where status defaults to 200:
//
//	status=N reason=NAME outcome=NAME retry-after=yes contains=TEXT header=NAME:VALUE
//	equal=UPSTREAM  the body equals that of a direct call to the upstream
//	broken=yes      the connection breaks before the answer is complete
//	refused=yes     no connection can be established
func chat(s *script, a arguments) error {
	if err := a.requirePositional(4, "chat ROUTER ACCOUNT SERVICE PROMPT"); err != nil {
		return err
	}
	tokens, err := a.intOption("tokens", 20)
	if err != nil {
		return err
	}
	body := chatBody(a.positional[2], a.positional[3], tokens, a.options["stream"] == "yes")
	// The URL is completed with the address of the router or upstream.
	direct := request{method: http.MethodPost, url: "/v1/chat/completions", body: body}
	return s.callRouter(a, direct.url, direct)
}

func chatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"min_tokens":%d,"max_tokens":%d,"stream":%t}`,
		model, prompt, tokens, tokens, stream)
}

// callService calls a plain service through a router as an account:
//
//	call ROUTER ACCOUNT SERVICE METHOD PATH [BODY] [key=TEXT] [as=NAME] ... [EXPECTATION...]
func callService(s *script, a arguments) error {
	if err := a.requirePositional(5, "call ROUTER ACCOUNT SERVICE METHOD PATH [BODY]"); err != nil {
		return err
	}
	direct := request{method: a.positional[3], url: a.positional[4]}
	if len(a.positional) > 5 {
		direct.body = a.positional[5]
	}
	return s.callRouter(a, "/v1/services/"+a.positional[2]+a.positional[4], direct)
}

// callRouter makes a call to a path of the router that the first argument
// names. direct is the corresponding request to an upstream.
func (s *script) callRouter(a arguments, path string, direct request) error {
	if err := a.allowCallOptions(); err != nil {
		return err
	}
	p, err := s.findProcess(a.positional[0])
	if err != nil {
		return err
	}
	x := &exchange{request: direct, direct: direct}
	x.request.url = "http://" + p.address + path
	x.request.key = a.positional[1] + keySuffix
	x.request.header = a.requestHeader()
	s.startExchange(x)
	if name, ok := a.options["as"]; ok {
		s.calls[name] = x
		return nil
	}
	return s.checkReply(x, a, x.wait())
}

func (a arguments) requestHeader() http.Header {
	header := http.Header{}
	headerNames := map[string]string{
		"key": "Idempotency-Key", "timeout-ms": "nutmeglock-timeout-ms",
	}
	for option, name := range headerNames {
		if value, ok := a.options[option]; ok {
			header.Set(name, value)
		}
	}
	for _, name := range []string{"non-idempotent", "resumable"} {
		if a.options[name] == "yes" {
			header.Set("nutmeglock-"+name, "true")
		}
	}
	return header
}

// join waits for the end of a background call and checks its reply:
//
//	join NAME [EXPECTATION...]
func join(s *script, a arguments) error {
	if err := a.requirePositional(1, "join NAME"); err != nil {
		return err
	}
	if err := a.allowOptions(expectations...); err != nil {
		return err
	}
	x, err := s.backgroundCall(a.positional[0])
	if err != nil {
		return err
	}
	return s.checkReply(x, a, x.wait())
}

func (s *script) backgroundCall(name string) (*exchange, error) {
	x, ok := s.calls[name]
	if !ok {
		return nil, fmt.Errorf("no call was made with as=%s", name)
	}
	return x, nil
}

// events waits until a streamed background call has received N events:
//
//	events NAME N
func events(s *script, a arguments) error {
	if err := a.requirePositional(2, "events NAME N"); err != nil {
		return err
	}
	x, err := s.backgroundCall(a.positional[0])
	if err != nil {
		return err
	}
	expected, err := strconv.Atoi(a.positional[1])
	if err != nil {
		return err
	}
	return poll("events", func() error {
		_, last, err := wholeEvents(x.partialReply().body)
		if err == nil && last < expected {
			err = fmt.Errorf("the last event so far is %d: %+v", last, x.partialReply())
		}
		return err
	})
}

// cut closes the connection of a background call from the caller's side:
//
//	cut NAME
func cut(s *script, a arguments) error {
	if err := a.requirePositional(1, "cut NAME"); err != nil {
		return err
	}
	x, err := s.backgroundCall(a.positional[0])
	if err != nil {
		return err
	}
	x.cancel()
	<-x.done
	return nil
}

// resume resumes a broken stream through a router, as an account, after the
// last complete event. The expectations apply to both parts together:
//
//	resume ROUTER ACCOUNT NAME [as=NAME] [EXPECTATION...]
func resume(s *script, a arguments) error {
	if err := a.requirePositional(3, "resume ROUTER ACCOUNT NAME"); err != nil {
		return err
	}
	if err := a.allowCallOptions(); err != nil {
		return err
	}
	p, err := s.findProcess(a.positional[0])
	if err != nil {
		return err
	}
	first, err := s.backgroundCall(a.positional[2])
	if err != nil {
		return err
	}
	head := first.partialReply()
	token := head.header.Get("nutmeglock-resume-token")
	if token == "" {
		return fmt.Errorf("the first answer has no resume token: %+v", head)
	}
	text, last, err := wholeEvents(head.body)
	if err != nil {
		return err
	}
	path := "/v1/streams/" + url.PathEscape(token) + "?after=" + strconv.Itoa(last)
	x := &exchange{
		request: request{method: http.MethodGet, url: "http://" + p.address + path, key: a.positional[1] + keySuffix},
		direct:  first.direct,
	}
	s.startExchange(x)
	r := x.wait()
	if r.status == http.StatusOK {
		r.body = text + r.body
	}
	return s.checkReply(x, a, r)
}

// checkReply checks a reply against the expectations.
func (s *script) checkReply(x *exchange, a arguments, r reply) error {
	if done, err := checkConnection(a, r); done {
		return err
	}
	if err := checkStatusAndHeader(a, r); err != nil {
		return err
	}
	if text := a.options["contains"]; !strings.Contains(r.body, text) {
		return fmt.Errorf("the body does not contain %q: %s", text, r.body)
	}
	if err := checkRefusal(a, r); err != nil {
		return err
	}
	if upstream, ok := a.options["equal"]; ok {
		return s.checkEqual(x.direct, upstream, r)
	}
	return nil
}

// checkConnection checks whether the connection broke or was refused as
// expected. It returns false if the reply itself remains to be checked.
func checkConnection(a arguments, r reply) (bool, error) {
	switch {
	case a.options["refused"] == "yes":
		if r.err == nil || r.status != 0 {
			return true, fmt.Errorf("the call was answered with status %d", r.status)
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

// checkStatusAndHeader checks the status, the request ID and the other headers
// of a reply.
func checkStatusAndHeader(a arguments, r reply) error {
	status, err := a.intOption("status", http.StatusOK)
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

// checkRefusal checks the reason and outcome of a refusal, if they are expected.
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
		return fmt.Errorf("the answer is not a refusal: %s", r.body)
	}
	if hasReason && body.Error.Reason != reason || hasOutcome && body.Error.Outcome != outcome {
		return fmt.Errorf("unexpected reason %q or outcome %q: %s", body.Error.Reason, body.Error.Outcome, r.body)
	}
	return nil
}

// directKeyPrefix is the prefix of the idempotency keys of direct calls to an
// upstream. They are not counted as runs of the fleet.
const directKeyPrefix = "direct-"

// checkEqual compares a reply with that of a direct call to the upstream.
func (s *script) checkEqual(direct request, upstream string, r reply) error {
	p, err := s.findProcess(upstream)
	if err != nil {
		return err
	}
	s.directCalls++
	direct.url = "http://" + p.address + direct.url
	direct.header = http.Header{"Idempotency-Key": {directKeyPrefix + strconv.Itoa(s.directCalls)}}
	expected := s.send(direct)
	if expected.err != nil {
		return expected.err
	}
	if expected.status != r.status || expected.body != r.body {
		return fmt.Errorf("the answer differs from that of %s:\n%d %s\nexpected:\n%d %s",
			upstream, r.status, r.body, expected.status, expected.body)
	}
	return nil
}

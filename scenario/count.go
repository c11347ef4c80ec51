package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"nutmeglock.example/nutmeglock/platform/standin"
)

// runs checks how many times an upstream has run a call:
//
//	runs UPSTREAM KEY N
func runs(s *script, a arguments) error {
	if err := a.requirePositional(3, "runs UPSTREAM KEY N"); err != nil {
		return err
	}
	counts, err := s.runCounts(a.positional[0])
	if err != nil {
		return err
	}
	if found := strconv.Itoa(counts[a.positional[1]]); found != a.positional[2] {
		return fmt.Errorf("%s was run %s times, expected %s: %v", a.positional[1], found, a.positional[2], counts)
	}
	return nil
}

// total checks how many calls an upstream has run for the fleet in total:
//
//	total UPSTREAM N
func total(s *script, a arguments) error {
	if err := a.requirePositional(2, "total UPSTREAM N"); err != nil {
		return err
	}
	counts, err := s.runCounts(a.positional[0])
	if err != nil {
		return err
	}
	if found := sum(counts); strconv.Itoa(found) != a.positional[1] {
		return fmt.Errorf("%d runs, expected %s: %v", found, a.positional[1], counts)
	}
	return nil
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// busy checks how many calls an upstream is running, as stated in its load report:
//
//	busy UPSTREAM N
func busy(s *script, a arguments) error {
	if err := a.requirePositional(2, "busy UPSTREAM N"); err != nil {
		return err
	}
	p, err := s.findProcess(a.positional[0])
	if err != nil {
		return err
	}
	r := s.send(request{method: http.MethodGet, url: "http://" + p.address + "/load"})
	if r.err != nil {
		return r.err
	}
	var load struct {
		Running int `json:"running"`
	}
	if err := json.Unmarshal([]byte(r.body), &load); err != nil {
		return err
	}
	if strconv.Itoa(load.Running) != a.positional[1] {
		return fmt.Errorf("%s is running %d calls, expected %s", p.name, load.Running, a.positional[1])
	}
	return nil
}

// quiet makes simultaneous calls through a router, so that they spread over all
// available engines, and checks that none reached the named ones:
//
//	quiet ENGINE... through=ROUTER account=NAME service=NAME [calls=24]
func quiet(s *script, a arguments) error {
	if err := a.allowOptions("through", "account", "service", "calls"); err != nil {
		return err
	}
	calls, err := a.intOption("calls", 24)
	if err != nil {
		return err
	}
	before, err := s.totalRuns(a.positional)
	if err != nil {
		return err
	}
	if err := s.chatAtOnce(a, calls); err != nil {
		return err
	}
	after, err := s.totalRuns(a.positional)
	if err == nil && before != after {
		err = fmt.Errorf("%d of %d calls went to %v", after-before, calls, a.positional)
	}
	return err
}

// chatAtOnce makes simultaneous calls and waits until all are answered.
func (s *script) chatAtOnce(a arguments, calls int) error {
	names := make([]string, calls)
	for i := range names {
		names[i] = "at-once-" + strconv.Itoa(i)
		call := arguments{
			positional: []string{a.options["through"], a.options["account"], a.options["service"], names[i]},
			options:    map[string]string{"as": names[i]},
		}
		if err := chat(s, call); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := join(s, arguments{positional: []string{name}}); err != nil {
			return err
		}
	}
	return nil
}

// totalRuns returns the total number of runs of several upstreams.
func (s *script) totalRuns(upstreams []string) (int, error) {
	total := 0
	for _, name := range upstreams {
		counts, err := s.runCounts(name)
		if err != nil {
			return 0, err
		}
		total += sum(counts)
	}
	return total, nil
}

// runCounts returns an upstream's number of runs by key, without direct calls.
func (s *script) runCounts(upstream string) (map[string]int, error) {
	p, err := s.findProcess(upstream)
	if err != nil {
		return nil, err
	}
	r := s.send(request{method: http.MethodGet, url: "http://" + p.address + "/runs"})
	if r.err != nil {
		return nil, r.err
	}
	var body struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		return nil, err
	}
	for key := range body.Runs {
		if strings.HasPrefix(key, directKeyPrefix) {
			delete(body.Runs, key)
		}
	}
	return body.Runs, nil
}

// operations checks how many operations of a kind a platform has received since
// the last mark, or since its start:
//
//	operations PLATFORM read|scan|commit|put|get|list [least=N] [most=N]
func operations(s *script, a arguments) error {
	if err := a.requirePositional(2, "operations PLATFORM KIND"); err != nil {
		return err
	}
	if err := a.allowOptions("least", "most"); err != nil {
		return err
	}
	counts, err := s.operationCounts(a.positional[0])
	if err != nil {
		return err
	}
	found := counts[a.positional[1]] - s.marks[a.positional[0]][a.positional[1]]
	least, err := a.intOption("least", 0)
	if err != nil {
		return err
	}
	most, err := a.intOption("most", found)
	if err != nil {
		return err
	}
	if found < least || found > most {
		return fmt.Errorf("%d operations of kind %s, expected %d to %d", found, a.positional[1], least, most)
	}
	return nil
}

// mark makes later operations commands count from now on:
//
//	mark PLATFORM
func mark(s *script, a arguments) error {
	if err := a.requirePositional(1, "mark PLATFORM"); err != nil {
		return err
	}
	counts, err := s.operationCounts(a.positional[0])
	s.marks[a.positional[0]] = counts
	return err
}

// operationCounts returns how many operations of each kind a platform has received.
func (s *script) operationCounts(name string) (map[string]int, error) {
	p, err := s.findProcess(name)
	if err != nil {
		return nil, err
	}
	r := s.send(request{method: http.MethodGet, url: "http://" + p.address + standin.CountsPath})
	if r.err != nil {
		return nil, r.err
	}
	counts := map[string]int{}
	return counts, json.Unmarshal([]byte(r.body), &counts)
}

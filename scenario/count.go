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
func runs(w *World, a arguments) error {
	if err := a.need(3, "runs UPSTREAM KEY N"); err != nil {
		return err
	}
	counts, err := w.counts(a.words[0])
	if err != nil {
		return err
	}
	if found := strconv.Itoa(counts[a.words[1]]); found != a.words[2] {
		return fmt.Errorf("%s was run %s times, expected %s: %v", a.words[1], found, a.words[2], counts)
	}
	return nil
}

// total checks how many runs an upstream has made in all for the fleet:
//
//	total UPSTREAM N
func total(w *World, a arguments) error {
	if err := a.need(2, "total UPSTREAM N"); err != nil {
		return err
	}
	counts, err := w.counts(a.words[0])
	if err != nil {
		return err
	}
	if found := sum(counts); strconv.Itoa(found) != a.words[1] {
		return fmt.Errorf("%d runs, expected %s: %v", found, a.words[1], counts)
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

// busy checks how many calls an upstream is running by its own report:
//
//	busy UPSTREAM N
func busy(w *World, a arguments) error {
	if err := a.need(2, "busy UPSTREAM N"); err != nil {
		return err
	}
	p, err := w.find(a.words[0])
	if err != nil {
		return err
	}
	r := w.send(request{method: http.MethodGet, url: "http://" + p.address + "/load"})
	if r.err != nil {
		return r.err
	}
	var load struct {
		Running int `json:"running"`
	}
	if err := json.Unmarshal([]byte(r.body), &load); err != nil {
		return err
	}
	if strconv.Itoa(load.Running) != a.words[1] {
		return fmt.Errorf("%s runs %d calls, expected %s", p.name, load.Running, a.words[1])
	}
	return nil
}

// quiet makes calls through a router, all at once so that they spread over
// every engine that is open, and checks that none reached the named ones:
//
//	quiet ENGINE... through=ROUTER account=NAME service=NAME [calls=24]
func quiet(w *World, a arguments) error {
	if err := a.allow("through", "account", "service", "calls"); err != nil {
		return err
	}
	calls, err := a.number("calls", 24)
	if err != nil {
		return err
	}
	before, err := w.totals(a.words)
	if err != nil {
		return err
	}
	if err := w.chatAtOnce(a, calls); err != nil {
		return err
	}
	after, err := w.totals(a.words)
	if err == nil && before != after {
		err = fmt.Errorf("%d of %d calls went to %v", after-before, calls, a.words)
	}
	return err
}

// chatAtOnce makes calls at the same time and waits until all are answered.
func (w *World) chatAtOnce(a arguments, calls int) error {
	names := make([]string, calls)
	for i := range names {
		names[i] = "at-once-" + strconv.Itoa(i)
		call := arguments{
			words:   []string{a.options["through"], a.options["account"], a.options["service"], names[i]},
			options: map[string]string{"as": names[i]},
		}
		if err := chat(w, call); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := join(w, arguments{words: []string{name}}); err != nil {
			return err
		}
	}
	return nil
}

// totals returns the runs of several upstreams together.
func (w *World) totals(upstreams []string) (int, error) {
	total := 0
	for _, name := range upstreams {
		counts, err := w.counts(name)
		if err != nil {
			return 0, err
		}
		total += sum(counts)
	}
	return total, nil
}

// counts returns an upstream's runs without those that a script asked for itself.
func (w *World) counts(upstream string) (map[string]int, error) {
	p, err := w.find(upstream)
	if err != nil {
		return nil, err
	}
	r := w.send(request{method: http.MethodGet, url: "http://" + p.address + "/runs"})
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
		if strings.HasPrefix(key, directKey) {
			delete(body.Runs, key)
		}
	}
	return body.Runs, nil
}

// operations checks how many operations of a kind a platform was asked for
// since the script's last mark, or since its start:
//
//	operations PLATFORM read|scan|commit|put|get|list [least=N] [most=N]
func operations(w *World, a arguments) error {
	if err := a.need(2, "operations PLATFORM KIND"); err != nil {
		return err
	}
	if err := a.allow("least", "most"); err != nil {
		return err
	}
	counts, err := w.operations(a.words[0])
	if err != nil {
		return err
	}
	found := counts[a.words[1]] - w.marks[a.words[0]][a.words[1]]
	least, err := a.number("least", 0)
	if err != nil {
		return err
	}
	most, err := a.number("most", found)
	if err != nil {
		return err
	}
	if found < least || found > most {
		return fmt.Errorf("%d operations of kind %s, expected %d to %d", found, a.words[1], least, most)
	}
	return nil
}

// mark lets later commands count a platform's operations from now on:
//
//	mark PLATFORM
func mark(w *World, a arguments) error {
	if err := a.need(1, "mark PLATFORM"); err != nil {
		return err
	}
	counts, err := w.operations(a.words[0])
	w.marks[a.words[0]] = counts
	return err
}

// operations returns how many operations of each kind a platform was asked for.
func (w *World) operations(name string) (map[string]int, error) {
	p, err := w.find(name)
	if err != nil {
		return nil, err
	}
	r := w.send(request{method: http.MethodGet, url: "http://" + p.address + standin.CountsPath})
	if r.err != nil {
		return nil, r.err
	}
	counts := map[string]int{}
	return counts, json.Unmarshal([]byte(r.body), &counts)
}

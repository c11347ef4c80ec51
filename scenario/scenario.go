// Package scenario is a small test language for the whole fleet: scripts that
// start routers and stand-ins as separate processes, break them, call them as
// client accounts do, and compare what comes back. It adds commands to
// testscript; docs of each command stand at its function.
package scenario

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// patience bounds each wait of a script. It is far longer than any promise, so
// that a busy machine changes no verdict.
const patience = 40 * time.Second

// pollInterval is the time between two looks at a condition.
const pollInterval = 10 * time.Millisecond

// program is the name of the command that TestMain installs.
const program = "nutmeglock"

// World is what one script has started. Its commands run one after the other.
type World struct {
	dir       string
	program   string
	env       []string
	client    *http.Client
	processes map[string]*process
	calls     map[string]*exchange
	loads     map[string]*load
	marks     map[string]map[string]int
	log       testscript.T
	directs   int
}

type worldKey struct{}

// running bounds the scripts that run at once, because each is a small fleet
// of its own on the same machine.
var running = make(chan struct{}, 3)

// Params returns the testscript parameters for the scripts in a directory.
func Params(dir string) testscript.Params {
	return testscript.Params{Dir: dir, Setup: setup, Cmds: commands(), RequireUniqueNames: true}
}

func setup(env *testscript.Env) error {
	path, err := lookPath(env)
	if err != nil {
		return err
	}
	running <- struct{}{}
	w := &World{
		dir: env.WorkDir, program: path, env: env.Vars,
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		processes: map[string]*process{},
		calls:     map[string]*exchange{},
		loads:     map[string]*load{},
		marks:     map[string]map[string]int{},
		log:       env.T(),
	}
	env.Values[worldKey{}] = w
	var once sync.Once
	env.Defer(func() {
		once.Do(func() {
			w.end(env.T())
			<-running
		})
	})
	return nil
}

func lookPath(env *testscript.Env) (string, error) {
	for _, dir := range strings.Split(env.Getenv("PATH"), ":") {
		if path, err := exec.LookPath(dir + "/" + program); err == nil {
			return path, nil
		}
	}
	return "", errors.New("the test's main function has not installed " + program)
}

// end ends every process that the script has started, and shows the ends of
// their logs when it failed.
func (w *World) end(t testscript.T) {
	for _, l := range w.loads {
		l.stop()
	}
	for _, p := range w.processes {
		p.end()
		if p.line != nil {
			p.line.close()
		}
	}
	tb, ok := t.(testing.TB)
	if !ok || !tb.Failed() {
		return
	}
	for _, p := range w.processes {
		t.Log(fmt.Sprintf("log of %s:\n%s", p.name, p.tail()))
	}
}

type command func(w *World, a arguments) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]command{
		"start": start, "restart": restart, "shutdown": shutdown, "abort": abort, "freeze": freeze, "thaw": thaw, "exited": exited,
		"ready": isReady, "unready": unready, "publish": publish, "race": race, "quiet": quiet, "version": version, "vms": vms,
		"fault": setFault, "limits": limits, "drain": drain, "crash": crash, "restore": restore,
		"sever": sever, "rejoin": rejoin,
		"chat": chat, "call": callService, "resume": resume, "join": join, "events": events, "cut": cut,
		"runs": runs, "total": total, "show": show, "busy": busy, "operations": operations, "mark": mark, "metric": metric, "load": startLoad, "progress": progress, "unload": endLoad,
	}
	result := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range table {
		result[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			began := time.Now()
			err := run(world(ts), parse(args))
			logSlow(ts, time.Since(began))
			report(ts, neg, err)
		}
	}
	result["await"] = func(ts *testscript.TestScript, neg bool, args []string) {
		began := time.Now()
		err := await(world(ts), table, args)
		logSlow(ts, time.Since(began))
		report(ts, neg, err)
	}
	return result
}

func world(ts *testscript.TestScript) *World {
	w, ok := ts.Value(worldKey{}).(*World)
	if !ok {
		ts.Fatalf("the script has no world; use scenario.Params")
	}
	return w
}

// slow is how long a command takes before its time is worth a line in the log.
const slow = time.Second

func logSlow(ts *testscript.TestScript, took time.Duration) {
	if took > slow {
		ts.Logf("took %v", took.Round(slow/10))
	}
}

func report(ts *testscript.TestScript, neg bool, err error) {
	switch {
	case err != nil && !neg:
		ts.Fatalf("%v", err)
	case err == nil && neg:
		ts.Fatalf("succeeded, which was not expected")
	case err != nil:
		ts.Logf("failed as expected: %v", err)
	}
}

// await repeats a command until it succeeds:
//
//	await COMMAND ARGUMENT...
func await(w *World, table map[string]command, args []string) error {
	if len(args) == 0 || table[args[0]] == nil {
		return fmt.Errorf("await needs one of this package's commands, found %q", args)
	}
	return poll(strings.Join(args, " "), func() error { return table[args[0]](w, parse(args[1:])) })
}

// poll repeats fn until it succeeds or patience is at its end.
func poll(what string, fn func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := fn()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %v for %s: %w", patience, what, err)
		}
		time.Sleep(pollInterval)
	}
}

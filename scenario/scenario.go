// Package scenario adds commands to testscript for tests of a whole fleet.
// Scripts start routers and stand-ins as separate processes, cause failures,
// send requests as client accounts, and check the replies. Each command is
// documented at its function.
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

// waitTimeout limits each wait of a script. It is far longer than any documented
// time limit, so that tests do not fail on a busy machine.
const waitTimeout = 40 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// program is the name of the command that TestMain installs.
const program = "nutmeglock"

// script is the state of a running script. Its commands run one after the other.
type script struct {
	dir       string
	program   string
	env       []string
	client    *http.Client
	processes map[string]*process
	// calls holds the background calls by name.
	calls map[string]*exchange
	loads map[string]*load
	// marks holds each platform's operation counts at its last mark.
	marks map[string]map[string]int
	log   testscript.T
	// directCalls counts the direct calls to upstreams.
	directCalls int
}

type scriptKey struct{}

// scriptSlots limits the number of concurrent scripts, because each runs a small
// fleet on the same machine.
var scriptSlots = make(chan struct{}, 3)

// Params returns the testscript parameters for the scripts in a directory.
func Params(dir string) testscript.Params {
	return testscript.Params{Dir: dir, Setup: setup, Cmds: commands(), RequireUniqueNames: true}
}

func setup(env *testscript.Env) error {
	path, err := findProgram(env)
	if err != nil {
		return err
	}
	scriptSlots <- struct{}{}
	s := &script{
		dir: env.WorkDir, program: path, env: env.Vars,
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		processes: map[string]*process{},
		calls:     map[string]*exchange{},
		loads:     map[string]*load{},
		marks:     map[string]map[string]int{},
		log:       env.T(),
	}
	env.Values[scriptKey{}] = s
	var once sync.Once
	env.Defer(func() {
		once.Do(func() {
			s.cleanUp(env.T())
			<-scriptSlots
		})
	})
	return nil
}

func findProgram(env *testscript.Env) (string, error) {
	for _, dir := range strings.Split(env.Getenv("PATH"), ":") {
		if path, err := exec.LookPath(dir + "/" + program); err == nil {
			return path, nil
		}
	}
	return "", errors.New("TestMain has not installed the command " + program)
}

// cleanUp kills every process that the script has started, and shows the ends of
// their logs if the script failed.
func (s *script) cleanUp(t testscript.T) {
	for _, l := range s.loads {
		l.stop()
	}
	for _, p := range s.processes {
		p.kill()
		if p.proxy != nil {
			p.proxy.close()
		}
	}
	tb, ok := t.(testing.TB)
	if !ok || !tb.Failed() {
		return
	}
	for _, p := range s.processes {
		t.Log(fmt.Sprintf("log of %s:\n%s", p.name, p.logTail()))
	}
}

// command runs a command of a script.
type command func(s *script, a arguments) error

// commands returns the commands of this package in the form of testscript.
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
			err := run(scriptOf(ts), parseArguments(args))
			logSlow(ts, time.Since(began))
			reportResult(ts, neg, err)
		}
	}
	result["await"] = func(ts *testscript.TestScript, neg bool, args []string) {
		began := time.Now()
		err := await(scriptOf(ts), table, args)
		logSlow(ts, time.Since(began))
		reportResult(ts, neg, err)
	}
	return result
}

func scriptOf(ts *testscript.TestScript) *script {
	s, ok := ts.Value(scriptKey{}).(*script)
	if !ok {
		ts.Fatalf("the script was not set up by scenario.Params")
	}
	return s
}

// slowCommand is the duration above which a command's time is logged.
const slowCommand = time.Second

func logSlow(ts *testscript.TestScript, took time.Duration) {
	if took > slowCommand {
		ts.Logf("took %v", took.Round(slowCommand/10))
	}
}

// reportResult fails the script unless the command ended as expected; neg means
// that it was expected to fail.
func reportResult(ts *testscript.TestScript, neg bool, err error) {
	switch {
	case err != nil && !neg:
		ts.Fatalf("%v", err)
	case err == nil && neg:
		ts.Fatalf("succeeded unexpectedly")
	case err != nil:
		ts.Logf("failed as expected: %v", err)
	}
}

// await repeats a command until it succeeds:
//
//	await COMMAND ARGUMENT...
func await(s *script, table map[string]command, args []string) error {
	if len(args) == 0 || table[args[0]] == nil {
		return fmt.Errorf("await needs a command of package scenario, found %q", args)
	}
	return poll(strings.Join(args, " "), func() error { return table[args[0]](s, parseArguments(args[1:])) })
}

// poll repeats fn until it succeeds or waitTimeout has passed.
func poll(what string, fn func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := fn()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %v for %s: %w", waitTimeout, what, err)
		}
		time.Sleep(pollInterval)
	}
}

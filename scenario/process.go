package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

// kind is what a process is.
type kind string

const (
	routerKind      kind = "router"
	engineKind      kind = "engine"
	applicationKind kind = "application"
	platformKind    kind = "platform"
)

// tailBytes is how much of a log is shown when a script fails.
const tailBytes = 6000

// process is one process that the script has started, by the name that the
// script gave it. It keeps its addresses over a restart.
type process struct {
	name string
	kind kind
	dir  string
	// address is where callers or routers connect; admin and peer are a router's.
	address string
	admin   string
	peer    string
	args    []string
	// line is a router's connection to the platform.
	line *line

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) path(suffix string) string { return filepath.Join(p.dir, p.name+suffix) }

// run starts the process.
func (p *process) run(program string, env []string) error {
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	out, err := os.Create(p.path(".out"))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, p.args...) //nolint:noctx,gosec // the script ends the process itself
	cmd.Env = env
	cmd.Dir = p.dir
	cmd.Stdout = out
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
	return nil
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// announced reads the line of JSON that a stand-in prints once it listens.
func (p *process) announced() error {
	data, err := os.ReadFile(p.path(".out"))
	if err != nil {
		return err
	}
	line, _, whole := bytes.Cut(data, []byte("\n"))
	if !whole {
		return errors.New("it has printed nothing yet")
	}
	var ready struct {
		Address string `json:"address"`
	}
	if err := json.Unmarshal(line, &ready); err != nil {
		return fmt.Errorf("it printed %q: %w", line, err)
	}
	p.address = ready.Address
	return nil
}

func (p *process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// end kills the process and waits until it has gone. A frozen one dies too.
func (p *process) end() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) tail() string {
	data, err := os.ReadFile(p.path(".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

func (w *World) find(name string) (*process, error) {
	p, ok := w.processes[name]
	if !ok {
		return nil, fmt.Errorf("the script has started no %q", name)
	}
	return p, nil
}

// each applies fn to the processes that the words name.
func (w *World) each(a arguments, fn func(*process) error, options ...string) error {
	if err := a.allow(options...); err != nil {
		return err
	}
	for _, name := range a.words {
		p, err := w.find(name)
		if err != nil {
			return err
		}
		if err := fn(p); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return a.need(1, "COMMAND NAME...")
}

// start starts processes and waits until they listen:
//
//	start platform|engine|application NAME... [--FLAG=VALUE...]
//	start router NAME... platform=NAME [data-center=NAME]
func start(w *World, a arguments) error {
	if err := a.need(2, "start KIND NAME..."); err != nil {
		return err
	}
	if err := a.allow("platform", "data-center"); err != nil {
		return err
	}
	for _, name := range a.words[1:] {
		p := &process{name: name, kind: kind(a.words[0]), dir: w.dir}
		if err := w.prepare(p, a); err != nil {
			return err
		}
		if err := w.launch(p); err != nil {
			return err
		}
		w.processes[name] = p
	}
	return nil
}

func (w *World) prepare(p *process, a arguments) error {
	if p.kind == routerKind {
		return w.prepareRouter(p, a)
	}
	p.args = append([]string{"stand-in", string(p.kind), "--address", "127.0.0.1:0"}, a.flags...)
	return nil
}

// launch runs a process and waits until it listens.
func (w *World) launch(p *process) error {
	if err := p.run(w.program, w.env); err != nil {
		return err
	}
	err := poll(p.name+" to listen", func() error {
		if !p.alive() {
			return nil
		}
		if p.kind == routerKind {
			return w.healthy(p)
		}
		return p.announced()
	})
	if err == nil && !p.alive() {
		err = errors.New("it has ended")
	}
	if err != nil {
		p.end()
		return fmt.Errorf("starting %s: %w\n%s", p.name, err, p.tail())
	}
	return nil
}

// restart starts processes that have ended again, at the same addresses:
//
//	restart NAME...
func restart(w *World, a arguments) error {
	return w.each(a, func(p *process) error {
		if p.alive() {
			return errors.New("it is still running")
		}
		if p.kind != routerKind {
			p.args[3] = p.address
		}
		return w.launch(p)
	})
}

// shutdown asks processes for a graceful shutdown and returns at once:
//
//	shutdown NAME...
func shutdown(w *World, a arguments) error {
	return w.each(a, func(p *process) error { return p.signal(syscall.SIGTERM) })
}

// abort kills processes and waits until they have gone:
//
//	abort NAME...
func abort(w *World, a arguments) error {
	return w.each(a, func(p *process) error {
		p.end()
		return nil
	})
}

// freeze pauses processes; they keep their connections and notice nothing:
//
//	freeze NAME...
func freeze(w *World, a arguments) error {
	return w.each(a, func(p *process) error { return p.signal(syscall.SIGSTOP) })
}

// thaw lets frozen processes go on:
//
//	thaw NAME...
func thaw(w *World, a arguments) error {
	return w.each(a, func(p *process) error { return p.signal(syscall.SIGCONT) })
}

// exited waits until processes have ended by themselves with a code:
//
//	exited NAME... [code=0]
func exited(w *World, a arguments) error {
	code, err := a.number("code", 0)
	if err != nil {
		return err
	}
	return w.each(a, func(p *process) error {
		err := poll("its end", func() error {
			if p.alive() {
				return errors.New("it is still running")
			}
			return nil
		})
		if err != nil {
			return err
		}
		if found := p.cmd.ProcessState.ExitCode(); found != code {
			return errors.New("it ended with code " + strconv.Itoa(found) + "\n" + p.tail())
		}
		return nil
	}, "code")
}

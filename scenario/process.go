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

// processKind is the kind of a process, as in the start command.
type processKind string

const (
	routerKind      processKind = "router"
	engineKind      processKind = "engine"
	applicationKind processKind = "application"
	platformKind    processKind = "platform"
)

// logTailBytes is the number of bytes at the end of a log that are shown when a
// script fails.
const logTailBytes = 6000

// process is a process that a script has started under a name. It keeps its
// addresses when it is restarted.
type process struct {
	name string
	kind processKind
	dir  string
	// address is for callers of a router and for the clients of a stand-in;
	// admin and peer are a router's other addresses.
	address string
	admin   string
	peer    string
	args    []string
	// proxy connects a router to the platform; nil for stand-ins.
	proxy *platformProxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) filePath(suffix string) string { return filepath.Join(p.dir, p.name+suffix) }

// start starts the process. Its standard error is appended to its log.
func (p *process) start(program string, env []string) error {
	log, err := os.OpenFile(p.filePath(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	out, err := os.Create(p.filePath(".out"))
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

// readAddress reads the address from the line of JSON that a stand-in prints
// when it listens.
func (p *process) readAddress() error {
	data, err := os.ReadFile(p.filePath(".out"))
	if err != nil {
		return err
	}
	line, _, whole := bytes.Cut(data, []byte("\n"))
	if !whole {
		return errors.New("no address printed yet")
	}
	var ready struct {
		Address string `json:"address"`
	}
	if err := json.Unmarshal(line, &ready); err != nil {
		return fmt.Errorf("unexpected output %q: %w", line, err)
	}
	p.address = ready.Address
	return nil
}

func (p *process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// kill kills the process, even if it is frozen, and waits until it has ended.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	data, err := os.ReadFile(p.filePath(".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

func (s *script) findProcess(name string) (*process, error) {
	p, ok := s.processes[name]
	if !ok {
		return nil, fmt.Errorf("no process %q was started", name)
	}
	return p, nil
}

// forEachProcess calls fn for the processes that the arguments name.
func (s *script) forEachProcess(a arguments, fn func(*process) error, options ...string) error {
	if err := a.allowOptions(options...); err != nil {
		return err
	}
	for _, name := range a.positional {
		p, err := s.findProcess(name)
		if err != nil {
			return err
		}
		if err := fn(p); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return a.requirePositional(1, "COMMAND NAME...")
}

// start starts processes and waits until they listen:
//
//	start platform|engine|application NAME... [--FLAG=VALUE...]
//	start router NAME... platform=NAME [data-center=NAME]
func start(s *script, a arguments) error {
	if err := a.requirePositional(2, "start KIND NAME..."); err != nil {
		return err
	}
	if err := a.allowOptions("platform", "data-center"); err != nil {
		return err
	}
	for _, name := range a.positional[1:] {
		p := &process{name: name, kind: processKind(a.positional[0]), dir: s.dir}
		if err := s.prepareProcess(p, a); err != nil {
			return err
		}
		if err := s.startProcess(p); err != nil {
			return err
		}
		s.processes[name] = p
	}
	return nil
}

// prepareProcess sets the command line of a process.
func (s *script) prepareProcess(p *process, a arguments) error {
	if p.kind == routerKind {
		return s.prepareRouter(p, a)
	}
	p.args = append([]string{"stand-in", string(p.kind), "--address", "127.0.0.1:0"}, a.flags...)
	return nil
}

// startProcess starts a process and waits until it listens.
func (s *script) startProcess(p *process) error {
	if err := p.start(s.program, s.env); err != nil {
		return err
	}
	err := poll(p.name+" to listen", func() error {
		if !p.alive() {
			return nil
		}
		if p.kind == routerKind {
			return s.checkHealth(p)
		}
		return p.readAddress()
	})
	if err == nil && !p.alive() {
		err = errors.New("the process has ended")
	}
	if err != nil {
		p.kill()
		return fmt.Errorf("starting %s: %w\n%s", p.name, err, p.logTail())
	}
	return nil
}

// restart restarts processes that have ended, at the same addresses:
//
//	restart NAME...
func restart(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error {
		if p.alive() {
			return errors.New("still running")
		}
		if p.kind != routerKind {
			p.args[3] = p.address
		}
		return s.startProcess(p)
	})
}

// shutdown requests a graceful shutdown of processes and returns at once:
//
//	shutdown NAME...
func shutdown(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error { return p.signal(syscall.SIGTERM) })
}

// abort kills processes and waits until they have ended:
//
//	abort NAME...
func abort(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error {
		p.kill()
		return nil
	})
}

// freeze pauses processes, which keep their connections:
//
//	freeze NAME...
func freeze(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error { return p.signal(syscall.SIGSTOP) })
}

// thaw resumes frozen processes:
//
//	thaw NAME...
func thaw(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error { return p.signal(syscall.SIGCONT) })
}

// exited waits until processes have ended by themselves with an exit code:
//
//	exited NAME... [code=0]
func exited(s *script, a arguments) error {
	code, err := a.intOption("code", 0)
	if err != nil {
		return err
	}
	return s.forEachProcess(a, func(p *process) error {
		err := poll("the exit", func() error {
			if p.alive() {
				return errors.New("still running")
			}
			return nil
		})
		if err != nil {
			return err
		}
		if found := p.cmd.ProcessState.ExitCode(); found != code {
			return errors.New("ended with exit code " + strconv.Itoa(found) + "\n" + p.logTail())
		}
		return nil
	}, "code")
}

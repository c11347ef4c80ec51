//go:build review2

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// routerCount and zoneCount are those of the small deployment.
	routerCount = 6
	zoneCount   = 3
	// program is the router as the deploy file builds it.
	program = "target/nutmeglock"
	// readyTime bounds the start of the routers.
	readyTime = 20 * time.Second
	// settleTime is how long the routers have to find each other before the traffic begins: more than the pages' stableMs.
	settleTime = 4 * time.Second
	// adminMode is the mode of the files of a case.
	adminMode = 0o600
	key       = "asnmgkcuyj8pjbvk9m68"
	host      = "ficu95.example"
	model     = "kirjoitin"
	plain     = "tilaukset"
)

// fleetOptions are the workers of a fleet.
type fleetOptions struct {
	workers []workerOptions
}

// fleet is a store, routers and workers.
type fleet struct {
	log     *record
	store   *store
	server  *http.Server
	prefix  string
	folder  string
	routers []*process
	workers []*process
	// next chooses the router of the next request.
	next int

	mu sync.Mutex
	// lines are what the workers have printed.
	lines []workerLine
}

// workerLine is a line that a worker has printed: what happened to an attempt.
type workerLine struct {
	what, attempt, worker string
	at                    time.Time
}

func (f *fleet) noteLine(worker, line string) {
	f.log.add("worker", line)
	words := strings.Fields(line)
	if len(words) < 2 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, workerLine{what: words[0], attempt: words[1], worker: worker, at: time.Now()})
}

// process is a router or a worker.
type process struct {
	name    string
	program string
	args    []string
	env     []string
	output  io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// startFleet starts everything and waits until the routers are ready. The fleet has to be ended, also after an error.
func startFleet(ctx context.Context, options fleetOptions, log *record) (*fleet, error) {
	f := &fleet{log: log, store: newStore(), prefix: fmt.Sprintf("127.%d.%d.", 10+rand.N(200), rand.N(250))}
	folder, err := os.MkdirTemp("", "nutmeglock-review-")
	if err != nil {
		return nil, err
	}
	f.folder = folder
	if err := f.serveStore(ctx); err != nil {
		return f, err
	}
	f.store.put("op", "config", []byte(configuration))
	for _, w := range options.workers {
		if err := f.addWorker(w); err != nil {
			return f, err
		}
	}
	for i := range routerCount {
		if err := f.addRouter(i); err != nil {
			return f, err
		}
	}
	for _, r := range f.routers {
		if err := f.awaitReady(ctx, r); err != nil {
			return f, err
		}
	}
	time.Sleep(settleTime)
	log.add("fleet", fmt.Sprintf("%d routers are ready, %d workers", len(f.routers), len(f.workers)))
	return f, nil
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

func (f *fleet) address(machine, port int) string {
	return fmt.Sprintf("%s%d:%d", f.prefix, machine, port)
}

func (f *fleet) storeAddress() string { return f.address(50, 8781) }

func (f *fleet) serveStore(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.storeAddress())
	if err != nil {
		return err
	}
	f.server = &http.Server{Handler: f.store.routes(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }() // ends with the fleet
	go func() {
		for sleep(ctx, heartbeat/4) {
			f.store.removeLapsed()
		}
	}()
	return nil
}

// addWorker starts a worker with an id and an address of its own.
func (f *fleet) addWorker(o workerOptions) error {
	i := len(f.workers)
	o.address, o.store, o.zone = f.address(100+i, 8080), f.storeAddress(), zone(i)
	o.id = fmt.Sprintf("i-%08x", rand.Uint32())
	self, err := os.Executable()
	if err != nil {
		return err
	}
	reader, writer := io.Pipe()
	go func() {
		lines := bufio.NewScanner(reader)
		for lines.Scan() {
			f.noteLine(o.id, lines.Text())
		}
	}()
	p := &process{name: o.id, program: self, args: o.args(), output: writer}
	f.workers = append(f.workers, p)
	return p.start()
}

func (f *fleet) addRouter(i int) error {
	ip := fmt.Sprintf("%s%d", f.prefix, 1+i)
	name := fmt.Sprintf("edge-%d", i+1)
	zones := make(map[string]string)
	for z := range zoneCount {
		zones[zone(z)] = "region-1"
	}
	settings, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "router", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone(i),
		"region": "region-1", "zones": zones, "listen": map[string]string{"front": ip + ":8783", "readiness": ip + ":8780"},
		"internalPorts": []int{7400, 7415}, "seeds": []string{}, "firstStart": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":         json.RawMessage(bounds),
		"platform": map[string]any{
			"address": f.storeAddress(), "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 3.0, "partitionWritesS": 300,
			"rowBytes": 65536, "across": true, "historyS": history.Seconds(), "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, settings, adminMode); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.folder, name+".log")) //nolint:gosec // a temporary folder of this program
	if err != nil {
		return err
	}
	r := &process{name: name, program: program, args: []string{"edge"}, env: []string{"NUTMEGLOCK_BOOT=" + path}, output: log}
	f.routers = append(f.routers, r)
	return r.start()
}

// front returns the address for clients of the next router.
func (f *fleet) front() string {
	f.next++
	return f.address(1+f.next%routerCount, 8783)
}

var errNotReady = errors.New("a router wasn't ready in time")

func (f *fleet) awaitReady(ctx context.Context, r *process) error {
	ip := f.prefix + r.name[len("edge-"):]
	for end := time.Now().Add(readyTime); time.Now().Before(end); {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ip+":8780/api/ready", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, r.name)
}

// end ends all processes. The logs of the routers are kept if the variable KEEP_LOGS is set.
func (f *fleet) end() {
	for _, p := range append(f.routers, f.workers...) {
		p.kill()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

func (p *process) start() error {
	command := exec.CommandContext(context.Background(), p.program, p.args...) //nolint:gosec // programs of this repository
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, p.env...)
	command.Stdout, command.Stderr = p.output, p.output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited = command, exited
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// supervise starts a worker again, each time a while after it has ended by itself.
func (p *process) supervise(ctx context.Context, pause time.Duration) {
	for {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		select {
		case <-exited:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, pause) || p.start() != nil {
			return
		}
	}
}

const bounds = `{"seedLagS":3,"reuseAfterS":2,"stableMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"failClosed":false,"revokeMs":5000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"retryBudgetSlack":52,"recoveryS":12,"passMs":120,"reuseWindowS":10,"quotaWindowS":4}`

const configuration = `{"version":7,"routes":[
{"name":"writeup","host":"ficu95.example","prefix":"/writeup/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":800,"targetGapMs":300,
"priority":1,"service":"kirjoitin","maxAttempts":2,"public":false,"sticky":true,"resumable":true},
{"name":"dispatch","host":"ficu95.example","prefix":"/dispatch/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":300,
"priority":2,"service":"tilaukset","maxAttempts":1,"public":false}],
"services":[{"name":"kirjoitin","maxConns":360,"healthPath":"/health","engine":{"slots":64,"kvCapacityTokens":664478,"kvTokenBytes":18432,"linkMbps":88000}},
{"name":"tilaukset","maxConns":96,"healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":310000},
"tenants":[{"name":"hule930","apiKeys":["asnmgkcuyj8pjbvk9m68"]}]}`

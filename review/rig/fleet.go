//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment, from the users' pages.
const (
	stable  = 3 * time.Second
	drain   = 2 * time.Second
	routers = 6
	apiKey  = "asnmgkcuyj8pjbvk9m68"
	tenant  = "hule930"
	host    = "ficu95.example"
)

var zones = []string{"kuopio-dc", "joensuu-dc", "mikkeli-dc"}

// scene is a small deployment on loopback.
type scene struct {
	record    *record
	store     *platformStore
	system    string // address of the store for the routers
	platform  string // address of the store for the operator and the workers
	folder    string
	isTrouble bool
	// isQuiet leaves single events out of the record.
	isQuiet bool

	mu       sync.Mutex
	children []*child
	notes    []note
	routers  []*router
	engines  []*engine
	version  int
}

// child is a process that the scene started.
type child struct {
	command *exec.Cmd
	exited  chan struct{}
}

// engine is a worker that is started again after it has crashed.
type engine struct {
	options workerOptions
	child   *child
	backAt  time.Time
}

// router is a process of the system.
type router struct {
	name, front, readiness string
}

func newScene(r *record) (*scene, error) {
	s := &scene{record: r, store: newPlatformStore(), isTrouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if s.system, err = s.store.listen(false); err != nil {
		return nil, err
	}
	s.platform, err = s.store.listen(true)
	r.add("trouble: %t", s.isTrouble)
	return s, err
}

// end kills all processes and removes the temporary folder.
func (s *scene) end() {
	s.mu.Lock()
	children := s.children
	s.mu.Unlock()
	for _, c := range children {
		_ = c.command.Process.Kill()
	}
	for _, c := range children {
		<-c.exited
	}
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		logs, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
		for _, name := range logs {
			data, _ := os.ReadFile(name)
			_ = os.WriteFile(filepath.Join(folder, filepath.Base(name)), data, 0o600)
		}
	}
	_ = os.RemoveAll(s.folder)
}

// start starts a process whose lines go to onLine, or to a file if that is nil.
func (s *scene) start(name string, environment []string, onLine func(string), program string, args ...string) (*child, error) {
	command := exec.Command(program, args...)
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}, environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if onLine == nil {
		file, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		command.Stdout, command.Stderr = file, file
	}
	c := &child{command: command, exited: make(chan struct{})}
	if onLine != nil {
		pipe, err := command.StdoutPipe()
		if err != nil {
			return nil, err
		}
		command.Stderr = os.Stderr
		if err := command.Start(); err != nil {
			return nil, err
		}
		go func() {
			lines := bufio.NewScanner(pipe)
			for lines.Scan() {
				onLine(lines.Text())
			}
			_ = command.Wait()
			close(c.exited)
		}()
	} else {
		if err := command.Start(); err != nil {
			return nil, err
		}
		go func() {
			_ = command.Wait()
			close(c.exited)
		}()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.children = append(s.children, c)
	return c, nil
}

// workerOptions are the flags of a worker.
type workerOptions struct {
	id, service, zone, software, address string

	flags []string
}

func (s *scene) startWorker(o workerOptions) (*child, error) {
	args := append([]string{
		"worker", "-id", o.id, "-service", o.service, "-zone", o.zone, "-software", o.software, "-address", o.address, "-store", s.platform,
	}, o.flags...)
	return s.start(o.id, nil, s.addNote, os.Args[0], args...)
}

// addNote records a line of a worker.
func (s *scene) addNote(line string) {
	var n note
	if err := json.Unmarshal([]byte(line), &n); err != nil {
		s.record.add("worker says %s", line)
		return
	}
	detail := ""
	if n.Request != "" {
		detail += " request " + n.Request
	}
	if n.Event > 0 {
		detail += " event " + strconv.Itoa(n.Event)
	}
	if n.Line != "" {
		detail += " " + n.Line
	}
	if !s.isQuiet || n.What != "sent" {
		s.record.addAt(time.UnixMilli(n.AtMS), "worker %s (%s) %s%s", n.Worker, n.Version, n.What, detail)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, n)
}

// seen returns what workers have told.
func (s *scene) seen() []note {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]note(nil), s.notes...)
}

// awaitNote waits until a worker has told something after a time.
func (s *scene) awaitNote(worker, what string, after time.Time, most time.Duration) (note, error) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, n := range s.seen() {
			if n.Worker == worker && n.What == what && n.AtMS >= after.UnixMilli() {
				return n, nil
			}
		}
	}
	return note{}, errors.New("worker " + worker + " never told: " + what)
}

// configure writes the configuration, as the operator does.
func (s *scene) configure(routes, services []map[string]any) error {
	s.version += 3
	return write(s.platform, operatorTable, "config", s.configuration(routes, services))
}

func (s *scene) configuration(routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 310000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// engineService and plainService are the services of a small deployment.
func engineService() map[string]any {
	return map[string]any{
		"name": "huvo11a", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacityTokens": 664478, "kvTokenBytes": 18432, "linkMbps": 88000.0, "moves": true, "backups": true,
			"stride": 3, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}

func plainService() map[string]any {
	return map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}
}

func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-3j6q5rm", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1500, "priority": 1,
		"service": "huvo11a", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 300,
	}
}

func orderRoute() map[string]any {
	return map[string]any{
		"name": "r-order", "host": host, "prefix": "/puxa403/", "kind": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 300, "priority": 2,
		"service": "wuno96b", "maxAttempts": 1, "public": false,
	}
}

// startRouters starts the system with the command of the deploy file, and waits until all routers are ready.
func (s *scene) startRouters() error {
	for i := range routers {
		r, err := s.startRouter(i)
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
	}
	for _, r := range s.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	s.record.add("%d routers are ready", routers)
	return nil
}

func (s *scene) startRouter(i int) (*router, error) {
	zone := zones[i%len(zones)]
	r := &router{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1)}
	ip, port, err := freeAddress()
	if err != nil {
		return nil, err
	}
	r.front, r.readiness = address(ip, port), address(ip, port+1)
	settings, err := json.Marshal(map[string]any{
		"nodeName": r.name, "role": "router", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "itasuomi",
		"zones":         map[string]string{zones[0]: "itasuomi", zones[1]: "itasuomi", zones[2]: "itasuomi"},
		"listen":        map[string]string{"front": r.front, "readiness": r.readiness},
		"internalPorts": []int{port + 2, port + 17}, "seeds": []string{}, "firstStart": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "failClosed": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 52, "recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "quotaWindowS": 4,
		},
		"platform": map[string]any{
			"address": s.system, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 3.0, "partitionWritesS": 300, "rowBytes": 65536,
			"across": true, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.folder, r.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	_, err = s.start(r.name, []string{"NUTMEGLOCK_BOOT=" + path}, nil, "target/nutmeglock", "edge")
	return r, err
}

// freeAddress returns a loopback address at which the metrics port is free, and the first of 18 free ports.
func freeAddress() (string, int, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
		port := 20000 + rand.IntN(10000)
		if areFree(ip, 9464, port, port+1, port+2, port+3) {
			return ip, port, nil
		}
	}
	return "", 0, errors.New("no free ports")
}

func areFree(ip string, ports ...int) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", address(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// freeWorkerAddress returns a free address for a worker, which it can use again after a restart.
func freeWorkerAddress() string {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
		if areFree(ip, 8443) {
			return address(ip, 8443)
		}
	}
	return ""
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (r *router) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + r.readiness + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("router " + r.name + " is not ready")
}

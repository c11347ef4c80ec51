package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/platform/standin"
	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
)

// The keys and names that scripts use. An account's key is its ID plus keySuffix.
const (
	operatorName = "operator"
	operatorKey  = "operator-key"
	keySuffix    = "-key"
	fleetKey     = "fleet-key-of-the-scenario"
	dataCenter   = "kuopio"
)

// routerSettings is the settings file of a router.
type routerSettings struct {
	ID            string             `json:"id"`
	DataCenter    string             `json:"data-center"`
	CallerAddress string             `json:"caller-address"`
	PeerAddress   string             `json:"peer-address"`
	AdminAddress  string             `json:"admin-address"`
	Platform      platformSettings   `json:"platform"`
	FleetKey      string             `json:"fleet-key"`
	OperatorKeys  []operatorSettings `json:"operator-keys"`
}

type platformSettings struct {
	URL string `json:"url"`
}

type operatorSettings struct {
	Name string `json:"name"`
	Key  string `json:"key-sha256"`
}

// prepareRouter starts a router's proxy, allocates its addresses and writes its
// settings file.
func (s *script) prepareRouter(p *process, a arguments) error {
	if err := s.startProxy(p, a.options["platform"]); err != nil {
		return err
	}
	var err error
	for _, address := range []*string{&p.address, &p.peer, &p.admin} {
		if *address, err = freePort(); err != nil {
			return err
		}
	}
	settings := routerSettings{
		ID: p.name, DataCenter: dataCenter,
		CallerAddress: p.address, PeerAddress: p.peer, AdminAddress: p.admin,
		Platform:     platformSettings{URL: "http://" + p.proxy.address()},
		FleetKey:     fleetKey,
		OperatorKeys: []operatorSettings{{Name: operatorName, Key: note.HashKey(operatorKey)}},
	}
	if center, ok := a.options["data-center"]; ok {
		settings.DataCenter = center
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	p.args = []string{"router", "--settings", p.filePath(".settings")}
	return os.WriteFile(p.filePath(".settings"), data, 0o600)
}

// checkHealth returns an error unless a router answers its health check.
func (s *script) checkHealth(p *process) error {
	return s.expectStatus(p.admin, "/healthz", http.StatusOK)
}

func (s *script) expectStatus(address, path string, status int) error {
	r := s.send(request{method: http.MethodGet, url: "http://" + address + path})
	if r.err != nil {
		return r.err
	}
	if r.status != status {
		return fmt.Errorf("%s was answered with status %d: %s", path, r.status, r.body)
	}
	return nil
}

// isReady checks that routers report that they are ready:
//
//	ready ROUTER...
func isReady(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error { return s.expectStatus(p.admin, "/readyz", http.StatusOK) })
}

// unready checks that routers report that they are not ready:
//
//	unready ROUTER...
func unready(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error {
		return s.expectStatus(p.admin, "/readyz", http.StatusServiceUnavailable)
	})
}

// metric checks a value of a router's metrics; a missing one counts as zero:
//
//	metric ROUTER 'NAME{LABELS}' [is=N] [least=N] [most=N]
func metric(s *script, a arguments) error {
	if err := a.requirePositional(2, "metric ROUTER NAME"); err != nil {
		return err
	}
	if err := a.allowOptions("is", "least", "most"); err != nil {
		return err
	}
	p, err := s.findProcess(a.positional[0])
	if err != nil {
		return err
	}
	found, err := s.metricValue(p, a.positional[1])
	if err != nil {
		return err
	}
	holds := map[string]func(bound float64) bool{
		"is":    func(bound float64) bool { return found == bound },
		"least": func(bound float64) bool { return found >= bound },
		"most":  func(bound float64) bool { return found <= bound },
	}
	for name, text := range a.options {
		bound, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		if !holds[name](bound) {
			return fmt.Errorf("%s is %v, expected %s %v", a.positional[1], found, name, bound)
		}
	}
	return nil
}

// metricValue returns a value of a router's metrics, or zero if it is missing.
func (s *script) metricValue(p *process, name string) (float64, error) {
	r := s.send(request{method: http.MethodGet, url: "http://" + p.admin + "/metrics"})
	if r.err != nil {
		return 0, r.err
	}
	for line := range strings.Lines(r.body) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, nil
}

// vms sets the platform's list of VMs to the given routers and upstreams:
//
//	vms PLATFORM NAME... [leaving=NAME,...]
func vms(s *script, a arguments) error {
	if err := a.requirePositional(1, "vms PLATFORM NAME..."); err != nil {
		return err
	}
	leaving := map[string]bool{}
	for _, name := range a.listOption("leaving") {
		leaving[name] = true
	}
	list := standin.VMsRequest{VMs: []standin.VM{}}
	for _, name := range a.positional[1:] {
		p, err := s.findProcess(name)
		if err != nil {
			return err
		}
		vm := standin.VM{Name: name, Role: store.UpstreamVM, Address: p.address, DataCenter: dataCenter, Leaving: leaving[name]}
		if p.kind == routerKind {
			vm.Role, vm.Address = store.RouterVM, p.peer
		}
		list.VMs = append(list.VMs, vm)
	}
	return s.sendControlRequest(a.positional[0], http.MethodPut, standin.VMsPath, list)
}

// setFault replaces the injected faults of a stand-in with one, or none:
//
//	fault NAME KIND [operation=NAME] [prefix=TEXT] [times=N] [delay=MS] [commits=N] [commit=N] [events=N]
//	fault NAME clear
func setFault(s *script, a arguments) error {
	if err := a.requirePositional(2, "fault NAME KIND"); err != nil {
		return err
	}
	if err := a.allowOptions("operation", "prefix", "times", "delay", "commits", "commit", "events"); err != nil {
		return err
	}
	n, err := a.intOptions("times", "delay", "commits", "commit", "events")
	if err != nil {
		return err
	}
	faults := fault.SetRequest{Faults: []fault.Fault{}}
	if a.positional[1] != "clear" {
		faults.Faults = append(faults.Faults, fault.Fault{
			Kind: fault.Kind(a.positional[1]), Operation: a.options["operation"], Prefix: a.options["prefix"],
			Times: n[0], DelayMs: n[1], CommitsBehind: n[2], AtCommit: n[3], AfterEvents: n[4],
		})
	}
	return s.sendControlRequest(a.positional[0], http.MethodPut, standin.FaultsPath, faults)
}

// limits sets the maximum operations per second of a platform; zero means unlimited:
//
//	limits PLATFORM [reads=N] [writes=N]
func limits(s *script, a arguments) error {
	if err := a.requirePositional(1, "limits PLATFORM"); err != nil {
		return err
	}
	n, err := a.intOptions("reads", "writes")
	if err != nil {
		return err
	}
	return s.sendControlRequest(a.positional[0], http.MethodPut, standin.LimitsPath, standin.RateLimits{Reads: float64(n[0]), Writes: float64(n[1])})
}

// drain makes upstreams refuse new work and finish their current work:
//
//	drain UPSTREAM...
func drain(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error { return s.sendControlRequest(p.name, http.MethodPost, "/drain", nil) })
}

// crash breaks an engine's connections and drops its streams, until restore:
//
//	crash ENGINE...
func crash(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error { return s.sendControlRequest(p.name, http.MethodPost, "/crash", nil) })
}

// restore ends a crash or a drain:
//
//	restore ENGINE...
func restore(s *script, a arguments) error {
	return s.forEachProcess(a, func(p *process) error { return s.sendControlRequest(p.name, http.MethodPost, "/restore", nil) })
}

// sendControlRequest sends a control request to a stand-in.
func (s *script) sendControlRequest(name, method, path string, message any) error {
	p, err := s.findProcess(name)
	if err != nil {
		return err
	}
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	r := s.send(request{method: method, url: "http://" + p.address + path, body: string(data)})
	if r.err == nil && r.status != http.StatusNoContent {
		r.err = fmt.Errorf("%s was answered with status %d: %s", path, r.status, r.body)
	}
	return r.err
}

// show fails with the answer of a router's administration API, to inspect a
// router while writing a script:
//
//	show ROUTER PATH
func show(s *script, a arguments) error {
	if err := a.requirePositional(2, "show ROUTER PATH"); err != nil {
		return err
	}
	p, err := s.findProcess(a.positional[0])
	if err != nil {
		return err
	}
	r := s.send(request{method: http.MethodGet, url: "http://" + p.admin + a.positional[1], key: operatorKey})
	if r.err != nil {
		return r.err
	}
	return fmt.Errorf("%s was answered with status %d: %s", a.positional[1], r.status, r.body)
}

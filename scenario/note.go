package scenario

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"nutmeglock.example/nutmeglock/note"
)

// placeholder matches ${NAME}, which stands for a process's address, and
// ${key:ACCOUNT}, which stands for the hash of an account's key.
var placeholder = regexp.MustCompile(`\$\{[^}]*\}`)

// expandPlaceholders replaces the placeholders in a text.
func (s *script) expandPlaceholders(text string) (string, error) {
	var missing []error
	expanded := placeholder.ReplaceAllStringFunc(text, func(found string) string {
		name := found[2 : len(found)-1]
		if account, ok := strings.CutPrefix(name, "key:"); ok {
			return note.HashKey(account + keySuffix)
		}
		p, err := s.findProcess(name)
		if err != nil {
			missing = append(missing, err)
			return found
		}
		return p.address
	})
	return expanded, errors.Join(missing...)
}

// publish publishes the release note in a file through a router:
//
//	publish ROUTER FILE [status=201] [contains=TEXT]
func publish(s *script, a arguments) error {
	if err := a.requirePositional(2, "publish ROUTER FILE"); err != nil {
		return err
	}
	if err := a.allowOptions("status", "contains"); err != nil {
		return err
	}
	status, err := a.intOption("status", http.StatusCreated)
	if err != nil {
		return err
	}
	r, err := s.publishRequest(a.positional[0], a.positional[1])
	if err != nil {
		return err
	}
	return checkPublish(s.send(r), status, a.options["contains"])
}

// publishRequest returns the request that publishes the release note in a file.
func (s *script) publishRequest(router, file string) (request, error) {
	p, err := s.findProcess(router)
	if err != nil {
		return request{}, err
	}
	data, err := os.ReadFile(filepath.Join(s.dir, file)) //nolint:gosec // a file of the script
	if err != nil {
		return request{}, err
	}
	text, err := s.expandPlaceholders(string(data))
	return request{method: http.MethodPost, url: "http://" + p.admin + "/v1/notes", body: text, key: operatorKey}, err
}

// checkPublish checks the status of a publish reply, and that the body contains
// a text.
func checkPublish(r reply, status int, text string) error {
	if r.err != nil {
		return r.err
	}
	if r.status != status || !strings.Contains(r.body, text) {
		return fmt.Errorf("publishing was answered with status %d: %s", r.status, r.body)
	}
	return nil
}

// race publishes two release notes at the same time and checks that one is
// accepted and the other refused because of a conflict:
//
//	race ROUTER FILE ROUTER FILE [contains=TEXT]
func race(s *script, a arguments) error {
	if err := a.requirePositional(4, "race ROUTER FILE ROUTER FILE"); err != nil {
		return err
	}
	if err := a.allowOptions("contains"); err != nil {
		return err
	}
	var exchanges [2]*exchange
	for i := range exchanges {
		r, err := s.publishRequest(a.positional[2*i], a.positional[2*i+1])
		if err != nil {
			return err
		}
		exchanges[i] = &exchange{request: r}
	}
	for _, x := range exchanges {
		s.startExchange(x)
	}
	first, second := exchanges[0].wait(), exchanges[1].wait()
	if first.status != http.StatusCreated {
		first, second = second, first
	}
	if err := checkPublish(first, http.StatusCreated, ""); err != nil {
		return err
	}
	return checkPublish(second, http.StatusConflict, a.options["contains"])
}

// version checks that routers use release note version N:
//
//	version N ROUTER...
func version(s *script, a arguments) error {
	if err := a.requirePositional(2, "version N ROUTER..."); err != nil {
		return err
	}
	expected := a.positional[0]
	a.positional = a.positional[1:]
	return s.forEachProcess(a, func(p *process) error {
		found, err := s.metricValue(p, "nutmeglock_note_version")
		if err != nil {
			return err
		}
		if text := strconv.FormatFloat(found, 'f', -1, 64); text != expected {
			return fmt.Errorf("the release note version is %s, expected %s", text, expected)
		}
		return nil
	})
}

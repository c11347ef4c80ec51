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

// placeholder is ${NAME} for a process's address and ${key:ACCOUNT} for the
// hash of an account's key.
var placeholder = regexp.MustCompile(`\$\{[^}]*\}`)

func (w *World) expand(text string) (string, error) {
	var missing []error
	expanded := placeholder.ReplaceAllStringFunc(text, func(found string) string {
		name := found[2 : len(found)-1]
		if account, ok := strings.CutPrefix(name, "key:"); ok {
			return note.HashKey(account + keySuffix)
		}
		p, err := w.find(name)
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
func publish(w *World, a arguments) error {
	if err := a.need(2, "publish ROUTER FILE"); err != nil {
		return err
	}
	if err := a.allow("status", "contains"); err != nil {
		return err
	}
	status, err := a.number("status", http.StatusCreated)
	if err != nil {
		return err
	}
	r, err := w.note(a.words[0], a.words[1])
	if err != nil {
		return err
	}
	return checkNote(w.send(r), status, a.options["contains"])
}

// note returns the request that publishes the release note in a file.
func (w *World) note(router, file string) (request, error) {
	p, err := w.find(router)
	if err != nil {
		return request{}, err
	}
	data, err := os.ReadFile(filepath.Join(w.dir, file)) //nolint:gosec // a file of the script
	if err != nil {
		return request{}, err
	}
	text, err := w.expand(string(data))
	return request{method: http.MethodPost, url: "http://" + p.admin + "/v1/notes", body: text, key: operatorKey}, err
}

func checkNote(r reply, status int, text string) error {
	if r.err != nil {
		return r.err
	}
	if r.status != status || !strings.Contains(r.body, text) {
		return fmt.Errorf("publishing is answered with %d: %s", r.status, r.body)
	}
	return nil
}

// race publishes two release notes at the same time and checks that one is
// accepted, and that the other is refused as a clash:
//
//	race ROUTER FILE ROUTER FILE [contains=TEXT]
func race(w *World, a arguments) error {
	if err := a.need(4, "race ROUTER FILE ROUTER FILE"); err != nil {
		return err
	}
	if err := a.allow("contains"); err != nil {
		return err
	}
	var exchanges [2]*exchange
	for i := range exchanges {
		r, err := w.note(a.words[2*i], a.words[2*i+1])
		if err != nil {
			return err
		}
		exchanges[i] = &exchange{request: r}
	}
	for _, x := range exchanges {
		w.begin(x)
	}
	first, second := exchanges[0].wait(), exchanges[1].wait()
	if first.status != http.StatusCreated {
		first, second = second, first
	}
	if err := checkNote(first, http.StatusCreated, ""); err != nil {
		return err
	}
	return checkNote(second, http.StatusConflict, a.options["contains"])
}

// version checks that a release note version is in force at routers:
//
//	version N ROUTER...
func version(w *World, a arguments) error {
	if err := a.need(2, "version N ROUTER..."); err != nil {
		return err
	}
	expected := a.words[0]
	a.words = a.words[1:]
	return w.each(a, func(p *process) error {
		found, err := w.gauge(p, "nutmeglock_note_version")
		if err != nil {
			return err
		}
		if text := strconv.FormatFloat(found, 'f', -1, 64); text != expected {
			return fmt.Errorf("version %s is in force, expected %s", text, expected)
		}
		return nil
	})
}

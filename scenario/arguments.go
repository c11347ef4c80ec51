package scenario

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// arguments are a command's words: name=value ones are options, ones that
// begin with two hyphens are flags for a process, and the rest stand by their order.
type arguments struct {
	words   []string
	options map[string]string
	flags   []string
}

var option = regexp.MustCompile(`^([a-z][a-z-]*)=((?s).*)$`)

func parse(args []string) arguments {
	a := arguments{options: map[string]string{}}
	for _, arg := range args {
		if strings.HasPrefix(arg, "--") {
			a.flags = append(a.flags, arg)
			continue
		}
		if match := option.FindStringSubmatch(arg); match != nil {
			a.options[match[1]] = match[2]
			continue
		}
		a.words = append(a.words, arg)
	}
	return a
}

// need returns an error unless there are at least n words.
func (a arguments) need(n int, usage string) error {
	if len(a.words) < n {
		return fmt.Errorf("usage: %s; found %q", usage, a.words)
	}
	return nil
}

// allow returns an error for an option that the command does not know, so
// that a misspelt expectation does not pass.
func (a arguments) allow(names ...string) error {
	for name := range a.options {
		known := false
		for _, n := range names {
			known = known || n == name
		}
		if !known {
			return fmt.Errorf("unknown option %q; allowed are %q", name, names)
		}
	}
	return nil
}

func (a arguments) number(name string, standard int) (int, error) {
	text, ok := a.options[name]
	if !ok {
		return standard, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("option %s is %q, which is no whole number", name, text)
	}
	return n, nil
}

// numbers returns several options, each zero when it is not given.
func (a arguments) numbers(names ...string) ([]int, error) {
	values := make([]int, len(names))
	for i, name := range names {
		n, err := a.number(name, 0)
		if err != nil {
			return nil, err
		}
		values[i] = n
	}
	return values, nil
}

// list returns the parts of an option that are separated by commas.
func (a arguments) list(name string) []string {
	text := a.options[name]
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

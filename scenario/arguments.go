package scenario

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// arguments are the arguments of a command: options of the form name=value,
// flags for a process, which begin with two hyphens, and positional ones.
type arguments struct {
	positional []string
	options    map[string]string
	flags      []string
}

var optionPattern = regexp.MustCompile(`^([a-z][a-z-]*)=((?s).*)$`)

func parseArguments(args []string) arguments {
	a := arguments{options: map[string]string{}}
	for _, arg := range args {
		if strings.HasPrefix(arg, "--") {
			a.flags = append(a.flags, arg)
			continue
		}
		if match := optionPattern.FindStringSubmatch(arg); match != nil {
			a.options[match[1]] = match[2]
			continue
		}
		a.positional = append(a.positional, arg)
	}
	return a
}

// requirePositional returns an error unless there are at least n positional
// arguments.
func (a arguments) requirePositional(n int, usage string) error {
	if len(a.positional) < n {
		return fmt.Errorf("usage: %s; found %q", usage, a.positional)
	}
	return nil
}

// allowOptions returns an error for an unknown option, so that a misspelt
// expectation is not ignored.
func (a arguments) allowOptions(names ...string) error {
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

// intOption returns the value of an option, or fallback if it is not given.
func (a arguments) intOption(name string, fallback int) (int, error) {
	text, ok := a.options[name]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("option %s: %q is not an integer", name, text)
	}
	return n, nil
}

// intOptions returns the values of several options; those not given are zero.
func (a arguments) intOptions(names ...string) ([]int, error) {
	values := make([]int, len(names))
	for i, name := range names {
		n, err := a.intOption(name, 0)
		if err != nil {
			return nil, err
		}
		values[i] = n
	}
	return values, nil
}

// listOption splits the value of an option at commas.
func (a arguments) listOption(name string) []string {
	text := a.options[name]
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

package config

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// reader takes typed values out of a text and collects faults.
type reader struct {
	file string
	scan scanned
	ini  *ini.File
	// known holds the keys asked for, by section.
	known map[string][]string
	// open holds the sections that may have any key.
	open map[string]bool
	// bad holds the keys with a fault.
	bad    map[position]bool
	faults Faults
}

// newReader scans and parses a text.
func newReader(file string, text []byte) *reader {
	r := &reader{
		file: file, scan: scan(file, string(text)),
		known: map[string][]string{}, open: map[string]bool{}, bad: map[position]bool{},
	}
	r.faults = r.scan.faults
	options := ini.LoadOptions{
		IgnoreContinuation: true, IgnoreInlineComment: true,
		PreserveSurroundedQuote: true, KeyValueDelimiters: "=",
	}
	parsed, err := ini.LoadSources(options, []byte(r.scan.text))
	if err != nil {
		r.faults = append(r.faults, Fault{file, 1, "text", quote(err.Error()), "an INI text"})
		parsed = ini.Empty(options)
	}
	r.ini = parsed
	return r
}

// has reports whether the text has the section or key.
func (r *reader) has(section, key string) bool {
	return r.scan.lines[position{section, key}] != 0
}

// good reports whether none of the keys, given as "section.key", has a fault.
func (r *reader) good(keys ...string) bool {
	for _, name := range keys {
		section, key, _ := strings.Cut(name, ".")
		if r.bad[position{section, key}] {
			return false
		}
	}
	return true
}

// keys returns the keys of a section that may have any, in the order of lines.
func (r *reader) keys(section string) []string {
	r.open[section] = true
	var keys []string
	for _, at := range r.scan.order {
		if at.section == section && at.key != "" {
			keys = append(keys, at.key)
		}
	}
	return keys
}

// fault records a fault of a key, at the line of its section if the key is
// absent.
func (r *reader) fault(section, key, found, allowed string) {
	at := position{section, key}
	r.bad[at] = true
	line := max(r.scan.lines[at], 1)
	if !r.has(section, key) {
		line = max(r.scan.lines[position{section: section}], 1)
	}
	r.faults = append(r.faults, Fault{r.file, line, at.String(), found, allowed})
}

// kind is a type of value: how to parse it and what to say is allowed.
type kind[T any] struct {
	allowed string
	parse   func(string) (T, bool)
	// secret is set if a faulty value must not be repeated in messages.
	secret bool
}

// required returns the value of a key that must be there.
func required[T any](r *reader, section, key string, k kind[T]) T {
	if !r.has(section, key) {
		r.known[section] = append(r.known[section], key)
		r.fault(section, key, "no such key", k.allowed)
		var zero T
		return zero
	}
	var zero T
	return optional(r, section, key, k, zero)
}

// optional returns the value of a key, or the default value if it is absent or
// faulty.
func optional[T any](r *reader, section, key string, k kind[T], standard T) T {
	r.known[section] = append(r.known[section], key)
	if !r.has(section, key) {
		return standard
	}
	text := r.ini.Section(section).Key(key).Value()
	value, ok := k.parse(text)
	if ok {
		return value
	}
	at := position{section, key}
	if r.faultyForm(at) {
		r.bad[at] = true
		return standard
	}
	found := quote(text)
	if k.secret {
		found = fmt.Sprintf("a value of %d characters", len(text))
	}
	r.fault(section, key, found, k.allowed)
	return standard
}

// faultyForm reports whether the scan has already reported the key's own line.
func (r *reader) faultyForm(at position) bool {
	return slices.ContainsFunc(r.scan.faults, func(f Fault) bool { return f.Line == r.scan.lines[at] })
}

// finish reports the sections and keys that nothing asked for, and returns all
// faults as the error.
func (r *reader) finish() error {
	sections := make([]string, 0, len(r.known)+len(r.open))
	for name := range r.known {
		sections = append(sections, name)
	}
	for name := range r.open {
		sections = append(sections, name)
	}
	slices.Sort(sections)
	sections = slices.Compact(sections)
	for _, at := range r.scan.order {
		switch {
		case !slices.Contains(sections, at.section):
			if at.key == "" {
				r.fault(at.section, "", "an unknown section", "one of ["+strings.Join(sections, "], [")+"]")
			}
		case at.key != "" && !r.open[at.section] && !slices.Contains(r.known[at.section], at.key):
			r.fault(at.section, at.key, "an unknown key", "one of "+strings.Join(r.known[at.section], ", "))
		}
	}
	return r.faults.sorted()
}

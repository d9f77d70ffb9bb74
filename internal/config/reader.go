package config

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// reader returns the typed values of a text and collects the faults found on the
// way, so that one pass reports all of them.
type reader struct {
	file string
	scan scanResult
	ini  *ini.File
	// expected holds the keys that were read, by section; finish reports any other
	// key as unknown.
	expected map[string][]string
	// freeSections holds the sections whose keys are chosen by the operator.
	freeSections map[string]bool
	// faulty holds the keys with a fault.
	faulty map[keyPath]bool
	faults Faults
}

// newReader scans and parses a text. file is only used in faults.
func newReader(file string, text []byte) *reader {
	r := &reader{
		file: file, scan: scan(file, string(text)),
		expected: map[string][]string{}, freeSections: map[string]bool{}, faulty: map[keyPath]bool{},
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
	return r.scan.lines[keyPath{section, key}] != 0
}

// valid reports whether none of the keys, given as "section.key", has a fault.
func (r *reader) valid(keys ...string) bool {
	for _, name := range keys {
		section, key, _ := strings.Cut(name, ".")
		if r.faulty[keyPath{section, key}] {
			return false
		}
	}
	return true
}

// keys returns the keys of a section whose keys are free names, in the order of
// lines.
func (r *reader) keys(section string) []string {
	r.freeSections[section] = true
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
	at := keyPath{section, key}
	r.faulty[at] = true
	line := max(r.scan.lines[at], 1)
	if !r.has(section, key) {
		line = max(r.scan.lines[keyPath{section: section}], 1)
	}
	r.faults = append(r.faults, Fault{r.file, line, at.String(), found, allowed})
}

// kind is a type of value.
type kind[T any] struct {
	// allowed describes the accepted values in a fault.
	allowed string
	// parse returns the value, and false if the text is not accepted.
	parse func(string) (T, bool)
	// secret is set if a faulty value must not be repeated in messages.
	secret bool
}

// required returns the value of a key. A missing key is a fault.
func required[T any](r *reader, section, key string, k kind[T]) T {
	if !r.has(section, key) {
		r.expected[section] = append(r.expected[section], key)
		r.fault(section, key, "no such key", k.allowed)
		var zero T
		return zero
	}
	var zero T
	return optional(r, section, key, k, zero)
}

// optional returns the value of a key, or the default value if the key is missing
// or its value is faulty.
func optional[T any](r *reader, section, key string, k kind[T], defaultValue T) T {
	r.expected[section] = append(r.expected[section], key)
	if !r.has(section, key) {
		return defaultValue
	}
	text := r.ini.Section(section).Key(key).Value()
	value, ok := k.parse(text)
	if ok {
		return value
	}
	at := keyPath{section, key}
	if r.reportedByScan(at) {
		r.faulty[at] = true
		return defaultValue
	}
	found := quote(text)
	if k.secret {
		found = fmt.Sprintf("a value of %d characters", len(text))
	}
	r.fault(section, key, found, k.allowed)
	return defaultValue
}

// reportedByScan reports whether the scan has already recorded a fault for the
// key's line.
func (r *reader) reportedByScan(at keyPath) bool {
	return slices.ContainsFunc(r.scan.faults, func(f Fault) bool { return f.Line == r.scan.lines[at] })
}

// finish records the sections and keys that were not read as unknown, and returns
// all faults as a Faults error, nil if there are none.
func (r *reader) finish() error {
	sections := make([]string, 0, len(r.expected)+len(r.freeSections))
	for name := range r.expected {
		sections = append(sections, name)
	}
	for name := range r.freeSections {
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
		case at.key != "" && !r.freeSections[at.section] && !slices.Contains(r.expected[at.section], at.key):
			r.fault(at.section, at.key, "an unknown key", "one of "+strings.Join(r.expected[at.section], ", "))
		}
	}
	return r.faults.sorted()
}

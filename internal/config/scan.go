package config

import (
	"fmt"
	"regexp"
	"strings"
)

// maxTextBytes bounds the size of a settings file or document.
const maxTextBytes = 256 << 10

// secretSection is the section whose faulty lines are never quoted in messages,
// because an operator may have written the key there instead of its hash.
const secretSection = "operator"

// namePattern is the form of section and key names. Letters of any script are
// allowed because data centre names are keys.
var namePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{M}\p{N}_.-]{0,62}$`)

const nameAllowed = "a letter or digit, then at most 62 letters, digits, '_', '.' or '-'"

// keyPath identifies a key, or a section if key is empty.
type keyPath struct{ section, key string }

// String returns "section.key", or "[section]", as used in faults.
func (k keyPath) String() string {
	if k.key == "" {
		return "[" + k.section + "]"
	}
	return k.section + "." + k.key
}

// scanResult is the result of the line scan. The scan accompanies the parse by
// ini.v1, which reports no line numbers and merges duplicate keys.
type scanResult struct {
	// lines holds the line of each section and key, counted from 1.
	lines map[keyPath]int
	// order holds sections and keys in the order of the text.
	order  []keyPath
	faults Faults
	// text is the input with every faulty line left empty.
	text string
}

// scan finds the line of each section and key, and the lines that are neither
// comments, section headers nor keys, or that repeat one.
func scan(file, text string) scanResult {
	s := scanResult{lines: map[keyPath]int{}}
	if len(text) > maxTextBytes {
		s.faults = Faults{{file, 1, "text", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", maxTextBytes)}}
		return s
	}
	lines := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
	section, inSection, malformed := "", false, false
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		lines[i] = trimmed
		if trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';' {
			continue
		}
		var fault *Fault
		if trimmed[0] == '[' {
			section, fault = s.sectionLine(trimmed, i+1)
			inSection, malformed = section != "", section == ""
		} else if malformed {
			// The malformed header was reported; the keys after it are not.
			lines[i] = ""
		} else {
			fault = s.keyLine(section, inSection, trimmed, i+1)
		}
		if fault != nil {
			if section == secretSection {
				fault.Found = fmt.Sprintf("a line of %d characters", len(trimmed))
			}
			fault.File, fault.Line = file, i+1
			s.faults = append(s.faults, *fault)
		}
		if fault != nil && trimmed[0] != '[' {
			lines[i] = ""
		}
		if trimmed[0] == '[' && !inSection {
			lines[i] = ""
		}
	}
	s.text = strings.Join(lines, "\n")
	return s
}

// sectionLine records a section header; the name is empty if it is malformed.
func (s *scanResult) sectionLine(line string, number int) (string, *Fault) {
	name, closed := strings.CutSuffix(line[1:], "]")
	if !closed || !namePattern.MatchString(name) {
		return "", &Fault{Key: "line", Found: quote(line), Allowed: "[section] with nothing after it"}
	}
	at := keyPath{section: name}
	if first := s.lines[at]; first != 0 {
		return name, &Fault{Key: at.String(), Found: fmt.Sprintf("the section again, first at line %d", first), Allowed: "each section once"}
	}
	s.record(at, number)
	return name, nil
}

// keyLine records a key of the current section.
func (s *scanResult) keyLine(section string, inSection bool, line string, number int) *Fault {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !found || !namePattern.MatchString(name) {
		return &Fault{Key: "line", Found: quote(line), Allowed: "key = value, the key being " + nameAllowed}
	}
	if !inSection {
		return &Fault{Key: name, Found: "a key outside any section", Allowed: "keys after a [section] line"}
	}
	at := keyPath{section, name}
	if first := s.lines[at]; first != 0 {
		return &Fault{Key: at.String(), Found: fmt.Sprintf("the key again, first at line %d", first), Allowed: "each key once"}
	}
	s.record(at, number)
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		return &Fault{Key: at.String(), Found: quote(value), Allowed: "a value on one line that starts with neither ` nor \"\"\""}
	}
	return nil
}

// record stores the line of a section or key.
func (s *scanResult) record(at keyPath, number int) {
	s.lines[at] = number
	s.order = append(s.order, at)
}

package config

import (
	"fmt"
	"regexp"
	"strings"
)

// maxTextBytes bounds a settings file or document.
const maxTextBytes = 256 << 10

// secretSection is the section whose faulty lines are never repeated in
// messages, because an operator may have put the key itself there.
const secretSection = "operator"

// namePattern is the form of section and key names. Letters of any script are
// allowed because data centre names are keys.
var namePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{M}\p{N}_.-]{0,62}$`)

const nameAllowed = "a letter or digit, then at most 62 letters, digits, '_', '.' or '-'"

// position names a key, or a section if the key is empty.
type position struct{ section, key string }

// String returns the position as used in faults.
func (p position) String() string {
	if p.key == "" {
		return "[" + p.section + "]"
	}
	return p.section + "." + p.key
}

// scanned is the result of the line scan that accompanies the ini.v1 parse,
// which reports no line numbers and merges duplicates.
type scanned struct {
	lines map[position]int
	// order holds sections and keys in the order of the text.
	order  []position
	faults Faults
	// text is the input with every faulty line left empty.
	text string
}

// scan finds the line of each section and key and the faults of form.
func scan(file, text string) scanned {
	s := scanned{lines: map[position]int{}}
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
			// The header is the fault, not each key after it.
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
func (s *scanned) sectionLine(line string, number int) (string, *Fault) {
	name, closed := strings.CutSuffix(line[1:], "]")
	if !closed || !namePattern.MatchString(name) {
		return "", &Fault{Key: "line", Found: quote(line), Allowed: "[section] with nothing after it"}
	}
	at := position{section: name}
	if first := s.lines[at]; first != 0 {
		return name, &Fault{Key: at.String(), Found: fmt.Sprintf("the section again, first at line %d", first), Allowed: "each section once"}
	}
	s.record(at, number)
	return name, nil
}

// keyLine records a key of the current section.
func (s *scanned) keyLine(section string, inSection bool, line string, number int) *Fault {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !found || !namePattern.MatchString(name) {
		return &Fault{Key: "line", Found: quote(line), Allowed: "key = value, the key being " + nameAllowed}
	}
	if !inSection {
		return &Fault{Key: name, Found: "a key outside any section", Allowed: "keys after a [section] line"}
	}
	at := position{section, name}
	if first := s.lines[at]; first != 0 {
		return &Fault{Key: at.String(), Found: fmt.Sprintf("the key again, first at line %d", first), Allowed: "each key once"}
	}
	s.record(at, number)
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		return &Fault{Key: at.String(), Found: quote(value), Allowed: "a value on one line that starts with neither ` nor \"\"\""}
	}
	return nil
}

// record notes the line of a section or key.
func (s *scanned) record(at position, number int) {
	s.lines[at] = number
	s.order = append(s.order, at)
}

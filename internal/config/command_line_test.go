package config

import (
	"bytes"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that starts with faulty settings or arguments, or
// that starts although --check was given.
func TestFromCommandLine(t *testing.T) {
	folder := t.TempDir()
	good, faulty := filepath.Join(folder, "good.ini"), filepath.Join(folder, "faulty.ini")
	assert.NilError(t, os.WriteFile(good, []byte(validEntry), 0o600))
	assert.NilError(t, os.WriteFile(faulty, []byte(strings.Replace(validEntry, "vm-1", "vm 1", 1)), 0o600))
	tests := []struct {
		arguments string
		exit      int
		done      bool
		stdout    string
		stderr    string
	}{
		{"--settings " + good, 0, false, "", ""},
		{"--check --settings " + good, 0, true, "drain = 20s", ""},
		{"--check --settings " + faulty, 1, true, "", `faulty.ini:3: process.vm: found "vm 1", allowed`},
		{"--settings " + faulty, 1, true, "", "faulty.ini:3"},
		{"--settings " + filepath.Join(folder, "none"), 1, true, "", "no such file"},
		{"--check", 1, true, "", "--settings"},
		{"--settings " + good + " more", 1, true, "", `unexpected argument "more"`},
		{"--help", 0, true, "settings file", ""},
	}
	for _, test := range tests {
		t.Run(test.arguments, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			_, exit, done := FromCommandLine("lg-entry", strings.Fields(test.arguments), ReadEntry, &stdout, &stderr)
			assert.Equal(t, exit, test.exit, stderr.String())
			assert.Equal(t, done, test.done)
			assert.Assert(t, strings.Contains(stdout.String(), test.stdout), stdout.String())
			assert.Assert(t, strings.Contains(stderr.String(), test.stderr), stderr.String())
		})
	}
}

// Guards against example settings that the parsers reject, and against control
// processes of one example whose voters or peers differ.
func TestExamplesAreValid(t *testing.T) {
	firstBySite := map[string]*Control{}
	count := 0
	err := filepath.WalkDir("../../examples", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".ini" {
			return err
		}
		count++
		site := filepath.Dir(path)
		switch name := filepath.Base(path); {
		case filepath.Base(site) == "documents":
			text, err := os.ReadFile(path)
			assert.NilError(t, err)
			_, err = ParseDocument(path, text)
			assert.NilError(t, err)
		case strings.HasPrefix(name, "entry"):
			_, err := ReadEntry(path)
			assert.NilError(t, err)
		default:
			c, err := ReadControl(path)
			assert.NilError(t, err)
			if other := firstBySite[site]; other != nil {
				assert.DeepEqual(t, other.Groups.FleetVoters, c.Groups.FleetVoters)
				assert.DeepEqual(t, other.Groups.DataCentreVoters, c.Groups.DataCentreVoters)
				assert.Assert(t, maps.Equal(peerMap(other.Peers), peerMap(c.Peers)), path)
			}
			firstBySite[site] = c
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, count >= 10, "%d examples", count)
}

// peerMap returns the peers by name.
func peerMap(peers Peers) map[string]Peer {
	m := map[string]Peer{}
	for _, p := range peers {
		m[p.Name] = p
	}
	return m
}

// Guards against a key of the settings or documents that is missing in the
// operations manual.
func TestReferenceIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	known := map[string][]string{}
	for _, text := range []string{validDocument, validEntry, validControl} {
		r := newReader("f.ini", []byte(text))
		switch text {
		case validDocument:
			new(Document).read(r)
		case validEntry:
			new(Entry).read(r)
		default:
			new(Control).read(r)
		}
		for section, keys := range r.expected {
			if section != "peers" {
				known[section] = append(known[section], keys...)
			}
		}
	}
	for section, keys := range known {
		for _, key := range keys {
			if key == "Thiès" || key == "Pikine" {
				continue
			}
			assert.Assert(t, strings.Contains(string(page), "| "+section+" | `"+key+"` |"), "%s.%s", section, key)
		}
	}
	assert.Assert(t, len(known) >= 10, "%v", known)
}

package config

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/internal/structs"
)

// TestMain fixes the seed of rapid so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const validDocument = `# Cut lists for one bus.
[service]
team = sajha-cutting
name = cutlist
command = cutlist --survey
class = gang
idempotent = yes

[size]
cpu = 2.5
memory = 16GiB
accelerators = 1

[tasks]
count = 4
run_time = 90s
deadline = 5m

[limits]
share = 3
cpu = 40
memory = 640GiB
accelerators = 8
queue = 50

[when_full]
action = wait
may_checkpoint = yes
may_preempt = yes
cut_grace = 500ms
`

const validEntry = `[process]
name = entry-1
vm = vm-1
data_centre = Thiès
admin = 127.0.0.1:9100
[listen]
public = 127.0.0.1:8080
peer = 127.0.0.1:8081
[peers]
control-1 = 127.0.0.1:8082 Thiès
control-2 = 127.0.0.2:8082 Pikine
[operator]
key_hash = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`

const validControl = `[process]
name = control-1
vm = vm-1
data_centre = Thiès
admin = 127.0.0.1:9101
[listen]
peer = 127.0.0.1:8082
[disk]
folder = /var/lib/laburnumgrade
[peers]
control-2 = 127.0.0.2:8082 Thiès
control-3 = 127.0.0.3:8082 Pikine
[groups]
fleet = control-1, control-2, control-3
Thiès = control-1, control-2, control-3
Pikine = control-3
[scheduler]
fairness_weight = 0.8
`

// parsers are the parse functions by kind of text.
var parsers = map[string]func(text string) error{
	"document": func(t string) error { _, err := ParseDocument("f.ini", []byte(t)); return err },
	"entry":    func(t string) error { _, err := ParseEntry("f.ini", []byte(t)); return err },
	"control":  func(t string) error { _, err := ParseControl("f.ini", []byte(t)); return err },
}

// validTexts are valid texts by kind.
var validTexts = map[string]string{"document": validDocument, "entry": validEntry, "control": validControl}

// Guards against values that are read into the wrong field or unit.
func TestParseDocument(t *testing.T) {
	d, err := ParseDocument("f.ini", []byte(validDocument))
	assert.NilError(t, err)
	want := Document{
		Spec: structs.WorkSpec{
			Team: "sajha-cutting", Service: "cutlist", Command: "cutlist --survey", Class: structs.ClassGang,
			Size:  structs.Resources{MilliCPU: 2500, MemoryBytes: 16 << 30, Accelerators: 1},
			Tasks: 4, Idempotent: true, RunTime: 90 * time.Second, Deadline: 5 * time.Minute,
			WaitWhenFull: true, MayCheckpoint: true, MayPreempt: true, QueueLimit: 50,
		},
		Share: 3, Limit: structs.Resources{MilliCPU: 40_000, MemoryBytes: 640 << 30, Accelerators: 8},
		CutGrace: 500 * time.Millisecond,
	}
	assert.DeepEqual(t, *d, want)
}

// Guards against settings that are read into the wrong field, and against a
// control process that is missing from its own peers.
func TestParseEntryAndControl(t *testing.T) {
	e, err := ParseEntry("f.ini", []byte(validEntry))
	assert.NilError(t, err)
	assert.Equal(t, e.PublicAddress.String(), "127.0.0.1:8080")
	assert.DeepEqual(t, e.Peers.DataCentres(), []string{"Pikine", "Thiès"})
	assert.Equal(t, e.OperatorKeyHash[0], byte(0x9f))
	assert.Equal(t, e.Limits.DrainTimeout, defaultDrain)
	c, err := ParseControl("f.ini", []byte(validControl))
	assert.NilError(t, err)
	self, ok := c.Peers.Find("control-1")
	assert.Assert(t, ok)
	assert.Equal(t, self.Address.String(), "127.0.0.1:8082")
	assert.Equal(t, c.FairnessWeight, 0.8)
	assert.DeepEqual(t, c.Groups.DataCentreVoters["Pikine"], []string{"control-3"})
}

// Guards against reporting only the first of several faults, or faults with the
// wrong line.
func TestAllFaultsAreReported(t *testing.T) {
	tests := []struct {
		kind  string
		edits []string // pairs of old and new text
		want  []string
	}{
		{"document", []string{
			"class = gang", "class = gnag",
			"memory = 16GiB", "memory = 16",
			"count = 4", "count = 4\ncount = 5",
			"share = 3", "shard = 3",
			"cut_grace = 500ms", "cut_grace = 48h",
		}, []string{
			`f.ini:6: service.class: found "gnag", allowed one of service, batch, gang`,
			`f.ini:11: size.memory: found "16", allowed an amount with its unit`,
			`f.ini:16: tasks.count: found the key again, first at line 15, allowed each key once`,
			`f.ini:21: limits.shard: found an unknown key, allowed one of share, cpu, memory, accelerators, queue`,
			`f.ini:31: when_full.cut_grace: found "48h", allowed a time with its unit (ms, s, m, h) from 0s to 24h0m0s`,
		}},
		{"entry", []string{
			"admin = 127.0.0.1:9100", "admin = localhost:9100",
			"public = 127.0.0.1:8080", "public 127.0.0.1:8080",
			"control-2 = 127.0.0.2:8082 Pikine", "control-2 = 127.0.0.2:8082",
			"[operator]", "[limits]\ndrain = 3\n[operator]",
			"key_hash = 9f86", "key_hash = xyz",
		}, []string{
			`f.ini:5: process.admin: found "localhost:9100", allowed ip:port with an IP number, no host name`,
			`f.ini:6: listen.public: found no such key, allowed ip:port`,
			`f.ini:7: line: found "public 127.0.0.1:8080", allowed key = value`,
			`f.ini:11: peers.control-2: found "127.0.0.2:8082", allowed 'ip:port data_centre'`,
			`f.ini:13: limits.drain: found "3", allowed a time with its unit`,
			`f.ini:15: operator.key_hash: found a value of 63 characters, allowed the SHA-256`,
		}},
		{"control", []string{
			"vm = vm-1\n", "",
			"folder = /var", "folder = var",
			"[groups]", "[peers]",
			"fairness_weight = 0.8", "fairness_weight = 1.5\n[schedule]",
		}, []string{
			`f.ini:1: process.vm: found no such key, allowed a letter or digit`,
			`f.ini:1: groups.fleet: found no such key, allowed an odd number`,
			`f.ini:1: groups.Thiès: found no such key, allowed the voters of the process's own data centre`,
			`f.ini:8: disk.folder: found "var/lib/laburnumgrade", allowed an absolute path`,
			`f.ini:12: [peers]: found the section again, first at line 9, allowed each section once`,
			`f.ini:13: peers.fleet: found "control-1, control-2, control-3", allowed 'ip:port data_centre'`,
			`f.ini:14: peers.Thiès: found "control-1, control-2, control-3", allowed 'ip:port data_centre'`,
			`f.ini:15: peers.Pikine: found "control-3", allowed 'ip:port data_centre'`,
			`f.ini:17: scheduler.fairness_weight: found "1.5", allowed a number from 0 to 1`,
			`f.ini:18: [schedule]: found an unknown section, allowed one of [address_map], [disk], [groups]`,
		}},
	}
	for _, test := range tests {
		t.Run(test.kind, func(t *testing.T) {
			text := validTexts[test.kind]
			for i := 0; i < len(test.edits); i += 2 {
				assert.Assert(t, strings.Contains(text, test.edits[i]), test.edits[i])
				text = strings.Replace(text, test.edits[i], test.edits[i+1], 1)
			}
			var faults Faults
			assert.Assert(t, errors.As(parsers[test.kind](text), &faults))
			assert.Equal(t, len(faults), len(test.want), "%v", faults)
			for i, want := range test.want {
				assert.Assert(t, strings.HasPrefix(faults[i].String(), want), "got  %s\nwant %s", faults[i], want)
			}
		})
	}
}

// Guards against single faults that are accepted, and against one fault that
// is reported as several.
func TestSingleFaults(t *testing.T) {
	tests := []struct {
		kind, old, new, want string
		// missing is set if the fault makes required keys missing, which are faults
		// too.
		missing bool
	}{
		{"document", "[service]", "x = 1\n[service]", "2: x: found a key outside", false},
		{"document", "[service]", "[service", `2: line: found "[service"`, true},
		{"document", "count = 4", "count = 1", "15: tasks.count: found 1, allowed at least 2 for class gang", false},
		{"entry", "[operator]", "[limits]\nrequest_memory = 5MiB\nmax_body = 2MiB\n[operator]", "13: limits.request_memory: found 5MiB, allowed at least 6MiB, 3 times max_body", false},
		{"entry", "[operator]", "[limits]\nmemory = 16MiB\n[operator]", "12: limits.request_memory: found 2MiB, allowed at least 3MiB, 3 times max_body", false},
		{"entry", "[operator]", "[limits]\nhttp2_window = 4MiB\n[operator]", "13: limits.http2_window: found \"4MiB\"", false},
		{"document", "cpu = 40", "cpu = 9999m", "21: limits.cpu: found 9999m, allowed at least 10 for 4 task(s) at once", false},
		{"document", "accelerators = 8", "accelerators = 3", "23: limits.accelerators: found 3, allowed at least 4", false},
		{"document", "queue = 50", "queue = 3", "24: limits.queue: found 3, allowed at least tasks.count, 4", false},
		{"document", "may_preempt = yes", "may_preempt = true", `29: when_full.may_preempt: found "true", allowed yes or no`, false},
		{"document", "idempotent = yes\n\n", "\n[a]\n", "8: [a]: found an unknown section", false},
		{"document", "run_time = 90s", "run_time = 1.5ms", `16: tasks.run_time: found "1.5ms"`, false},
		{"document", "cpu = 2.5\n", "cpu = 2.5 ; half\n", `10: size.cpu: found "2.5 ; half"`, false},
		{"document", "memory = 16GiB", "memory = `16GiB`", "11: size.memory: found \"`16GiB`\", allowed a value on one line", false},
		{"document", "cpu = 2.5\n", "cpu =\n", "10: size.cpu: found nothing", false},
		{"entry", "control-2 = 127.0.0.2:8082", "control-2 = 127.0.0.1:8082", "11: peers.control-2: found 127.0.0.1:8082, also the address of control-1", false},
		{"entry", "key_hash = 9f86", "key_hash 9f86", "13: line: found a line of 73 characters", true},
		{"entry", "peer = 127.0.0.1:8081", "peer = 0.0.0.0:8081", `8: listen.peer: found "0.0.0.0:8081"`, false},
		{"control", "control-2 = 127.0.0.2:8082 Thiès", "control-2 = 127.0.0.2:8082 Thiès\ncontrol-1 = 127.0.0.9:8082 Thiès", `12: peers.control-1: found "127.0.0.9:8082 Thiès", allowed "127.0.0.1:8082 Thiès"`, false},
		{"control", "Pikine = control-3", "Pikine = control-9", `16: groups.Pikine: found "control-9", allowed names of [peers]`, false},
		{"control", "Pikine = control-3", "Piquine = control-3", "16: groups.Piquine: found an unknown data centre", false},
		{"control", "Pikine = control-3", "Pikine = control-2, control-3", "16: groups.Pikine: found \"control-2, control-3\", allowed an odd number", false},
		{"control", "Thiès = control-1, control-2, control-3\n", "", "13: groups.Thiès: found no such key", false},
		{"control", "folder = /var/lib/laburnumgrade\n", "", "8: disk.folder: found no such key", false},
	}
	for _, test := range tests {
		t.Run(test.new, func(t *testing.T) {
			text := validTexts[test.kind]
			assert.Assert(t, strings.Contains(text, test.old))
			err := parsers[test.kind](strings.Replace(text, test.old, test.new, 1))
			var faults Faults
			assert.Assert(t, errors.As(err, &faults), "accepted")
			if !test.missing {
				assert.Equal(t, len(faults), 1, "%v", faults)
			}
			assert.Assert(t, strings.Contains("\n"+err.Error(), "\nf.ini:"+test.want), "%v", faults)
		})
	}
}

// Guards against documents that permit the preemption of work that is neither
// idempotent nor able to checkpoint.
func TestPreemptionNeedsCheckpointOrIdempotence(t *testing.T) {
	text := strings.Replace(validDocument, "idempotent = yes", "idempotent = no", 1)
	assert.NilError(t, parsers["document"](text))
	text = strings.Replace(text, "may_checkpoint = yes\n", "", 1)
	assert.ErrorContains(t, parsers["document"](text), "f.ini:28: when_full.may_preempt: found yes without may_checkpoint")
}

// Guards against a team limit below the tasks that must run at the same time, and
// against the rejection of a limit that holds one batch task, since batch tasks
// may run one after another.
func TestLimitHoldsConcurrentTasks(t *testing.T) {
	tight := strings.Replace(validDocument, "cpu = 40", "cpu = 9", 1)
	for class, want := range map[string]string{
		"gang": "allowed at least 10 for 4 task(s)", "service": "allowed at least 10 for 4 task(s)", "batch": "",
	} {
		err := parsers["document"](strings.Replace(tight, "class = gang", "class = "+class, 1))
		assert.Equal(t, err == nil, want == "", class)
		assert.Assert(t, err == nil || strings.Contains(err.Error(), want), "%v", err)
	}
}

// Guards against amounts that are rounded, overflow or lack a unit.
func TestParseBytesAndCPU(t *testing.T) {
	for text, want := range map[string]int64{
		"64GB": 64e9, "1.5GiB": 3 << 29, "0.001kB": 1, "8192PiB": -1, "1.0001kB": -1,
		"64": -1, "64gb": -1, "-1B": -1, "1 GB": -1, "": -1, "GB": -1, "1e3B": -1,
	} {
		n, ok := ParseBytes(text)
		assert.Equal(t, ok, want >= 0, text)
		assert.Assert(t, !ok || n == want, text)
	}
	for text, want := range map[string]int64{"2.5": 2500, "2500m": 2500, "0.0001": -1, "1.5m": -1, "2.5 cores": -1, "m": -1} {
		n, ok := ParseCPU(text)
		assert.Equal(t, ok, want >= 0, text)
		assert.Assert(t, !ok || n == want, text)
	}
}

// Guards against printed documents or settings that are rejected, or parsed to
// another value.
func TestPrintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		again, err := ParseDocument("printed", []byte(d.String()))
		assert.NilError(t, err, d.String())
		assert.DeepEqual(t, again, d)
	})
	e, err := ParseEntry("f", []byte(validEntry))
	assert.NilError(t, err)
	e2, err := ParseEntry("f", []byte(e.String()))
	assert.NilError(t, err)
	assert.Equal(t, e2.String(), e.String())
	c, err := ParseControl("f", []byte(validControl))
	assert.NilError(t, err)
	c2, err := ParseControl("f", []byte(c.String()))
	assert.NilError(t, err)
	assert.Equal(t, c2.String(), c.String())
}

// drawDocument draws a valid document.
func drawDocument(t *rapid.T) *Document {
	integer := func(name string, low, high int64) int64 { return rapid.Int64Range(low, high).Draw(t, name) }
	yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
	ms := func(name string, high time.Duration) time.Duration {
		return time.Duration(integer(name, 0, high.Milliseconds())) * time.Millisecond
	}
	d := &Document{Share: integer("share", 1, maxShare), CutGrace: ms("grace", maxCutGrace)}
	s := &d.Spec
	s.Team = rapid.StringMatching(`[a-zA-Zéй0-9][a-z0-9_.è-]{0,20}`).Draw(t, "team")
	s.Service = rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "service")
	s.Command = rapid.StringMatching("[a-z/][ -~é]{0,30}[!-~]").Draw(t, "command")
	s.Class = rapid.SampledFrom([]structs.Class{structs.ClassService, structs.ClassBatch, structs.ClassGang}).Draw(t, "class")
	s.Tasks = int(integer("tasks", 2, maxTasks))
	s.QueueLimit = int(integer("queue", int64(s.Tasks), maxQueuedItems))
	s.Size = structs.Resources{MilliCPU: integer("cpu", 1, 1000), MemoryBytes: integer("memory", 1, 8<<40), Accelerators: integer("acc", 0, 10)}
	d.Limit = s.Size.Scale(int64(s.Tasks))
	s.RunTime, s.Deadline = ms("run", maxDeclaredRunTime), ms("deadline", maxDeadline)
	s.Exclusive, s.OpenQueue, s.WaitWhenFull = yes("exclusive"), yes("open"), yes("wait")
	s.Idempotent, s.MayThrottle, s.MayCheckpoint = yes("idempotent"), yes("throttle"), yes("checkpoint")
	s.MayPreempt = yes("preempt") && (s.Idempotent || s.MayCheckpoint)
	return d
}

// Guards against a panic, or an error that is not Faults, on arbitrary text: lines
// of valid texts left out, repeated and mixed with random ones.
func TestArbitraryText(t *testing.T) {
	pool := strings.Split(validDocument+validEntry+validControl+"\"\"\"\n`\n[DEFAULT]\n= 1\n[.]\n\ufeff\nk = \"\"\"\na.b = %(k)s\n-= 2", "\n")
	line := rapid.OneOf(rapid.SampledFrom(pool), rapid.SampledFrom(pool), rapid.String(),
		rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }))
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(line, 0, 60).Draw(t, "lines"), "\n")
		for name, parse := range parsers {
			err := parse(text)
			var faults Faults
			if err != nil && !errors.As(err, &faults) {
				t.Fatalf("%s: %v", name, err)
			}
			for _, f := range faults {
				if f.Line < 1 || f.Line > strings.Count(text, "\n")+1 || f.Found == "" || f.Allowed == "" {
					t.Fatalf("%s: %v", name, fmt.Sprintf("%+v", f))
				}
				if strings.Contains(f.Allowed, "an INI text") {
					t.Fatalf("%s: the scan let through what ini.v1 refuses: %v", name, f)
				}
			}
		}
	})
}

// Guards against another memory for requests than the documented one, and against settings with a
// large max_body that are refused although they name no memory.
func TestRequestMemoryOfEntry(t *testing.T) {
	for limits, want := range map[string]int64{
		"":                   64 << 20,
		"max_body = 64MiB\n": 192 << 20,
		"memory = 256MiB\n":  32 << 20,
		"memory = 256MiB\nrequest_memory = 9MiB\n": 9 << 20,
	} {
		e, err := ParseEntry("f.ini", []byte(strings.Replace(validEntry, "[operator]", "[limits]\n"+limits+"[operator]", 1)))
		assert.NilError(t, err, limits)
		assert.Equal(t, e.Limits.RequestMemoryBytes, want, limits)
	}
}

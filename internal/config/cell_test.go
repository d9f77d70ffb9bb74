package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/intake"
)

const cellSettings = `[process]
name = core-1
vm = core-1
data_centre = balaju
admin = 10.1.0.20:7421

[cell]
seeds = 10.1.0.20:8180,10.2.0.18:8180,10.3.0.38:8180
bootstrap = yes
max_lease = 6000ms
keep_ended = 120s
remote_factor = 3
tolerated_vms = 2
advice = 10.200.1.9:8182

[listen]
public = 10.1.0.20:8180
peer = 10.1.0.20:7420

[disk]
folder = /data/core

[limits]
descriptors = 4096
memory = 336MiB
`

// Guards against seeds that keep the public port instead of the peer port, and
// against printed settings that ParseCell rejects.
func TestParseCell(t *testing.T) {
	c, err := ParseCell("f", []byte(cellSettings))
	assert.NilError(t, err)
	assert.DeepEqual(t, c.Seeds, []string{"10.1.0.20:7420", "10.2.0.18:7420", "10.3.0.38:7420"})
	assert.Assert(t, c.Bootstrap && c.MaxLease == 6*time.Second && c.EndedJobRetention == 2*time.Minute && c.RemoteFactor == 3)
	assert.Equal(t, c.MaxLogBytes, int64(16<<20))
	small, err := ParseCell("f", []byte(strings.Replace(cellSettings, "[disk]\n", "[disk]\nmax_log = 2MiB\n", 1)))
	assert.NilError(t, err)
	assert.Equal(t, small.MaxLogBytes, int64(2<<20))
	assert.Assert(t, strings.Contains(small.String(), "max_log = 2MiB"))
	assert.Assert(t, c.Admission)
	assert.Assert(t, c.ToleratedVMs == 2 && c.ToleratedDataCentres == 1)
	assert.Assert(t, c.Descriptors == 4096 && c.ReservedDescriptors == 200 && c.MemoryBytes == 336<<20)
	assert.Assert(t, c.RequestMemoryBytes == 42<<20 && c.RequestLimits == intake.DefaultLimits)
	again, err := ParseCell("f", []byte(c.String()))
	assert.NilError(t, err)
	assert.Equal(t, again.String(), c.String())
}

// Guards against settings of requests that are ignored, and against a process without a limit of
// memory that has no bound for requests.
func TestParseRequestLimits(t *testing.T) {
	set := "request_memory = 100MiB\nmax_header = 16KiB\nheader_timeout = 3s\nbody_timeout = 4s\nidle_timeout = 15s\nwrite_timeout = 5s"
	c, err := ParseCell("f", []byte(strings.Replace(cellSettings, "memory = 336MiB", "memory = 336MiB\n"+set, 1)))
	assert.NilError(t, err)
	assert.Equal(t, c.RequestMemoryBytes, int64(100<<20))
	assert.Equal(t, c.RequestLimits, intake.Limits{
		MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, BodyTimeout: 4 * time.Second, IdleTimeout: 15 * time.Second, WriteTimeout: 5 * time.Second,
	})
	again, err := ParseCell("f", []byte(c.String()))
	assert.NilError(t, err)
	assert.Equal(t, again.String(), c.String())
	c, err = ParseCell("f", []byte(strings.Replace(cellSettings, "memory = 336MiB", "", 1)))
	assert.NilError(t, err)
	assert.Equal(t, c.RequestMemoryBytes, int64(64<<20))
}

// Guards against a setting of a cell's processes that is missing in the operations manual.
func TestReferenceOfCellIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "## 10. The cell")
	assert.Assert(t, found)
	r := newReader("f", nil)
	readCommon(r)
	for _, key := range r.expected["limits"] {
		assert.Assert(t, strings.Contains(section, "| limits | `"+key+"` |"), key)
	}
}

// Guards against faulty settings that are accepted.
func TestParseCellFaults(t *testing.T) {
	for _, change := range [][2]string{
		{"seeds = ", "seeds = host:1,"}, {"bootstrap = yes", "bootstrap = perhaps"}, {"folder = /data", "folder = data"},
		{"max_lease = 6000ms", "max_lease = 6000"}, {"[disk]", "[disc]"}, {"[disk]", "[disk]\nmax_log = 2"}, {"[disk]", "[disk]\nmax_log = 1023KiB"}, {"[disk]", "[disk]\nmax_log = 2GiB"}, {"peer = 10.1.0.20:7420", "peer = 10.1.0.20:0"}, {"advice = ", "advise = "},
		{"descriptors = 4096", "descriptors = 200"}, {"descriptors = 4096", "descriptors = -1"}, {"memory = 336MiB", "memory = 336"}, {"memory = 336MiB", "memory = 1MiB"}, {"descriptors = 4096", "reserved_descriptors = many"},
		{"tolerated_vms = 2", "admission = sometimes"}, {"tolerated_vms = 2", "tolerated_vms = 9"}, {"tolerated_vms = 2", "tolerated_vms = -1"}, {"tolerated_vms = 2", "tolerated_vms = two"}, {"tolerated_vms = 2", "tolerated_data_centres = 9"},
		{"memory = 336MiB", "memory = 336MiB\nrequest_memory = 169MiB"}, {"memory = 336MiB", "request_memory = 1000KiB"}, {"memory = 336MiB", "request_memory = 8"},
		{"memory = 336MiB", "max_header = 8KiB"}, {"memory = 336MiB", "max_header = 2MiB"}, {"memory = 336MiB", "header_timeout = 2s"}, {"memory = 336MiB", "header_timeout = 10"},
		{"memory = 336MiB", "body_timeout = 0s"}, {"memory = 336MiB", "idle_timeout = 14s"}, {"memory = 336MiB", "write_timeout = 11m"},
	} {
		_, err := ParseCell("f", []byte(strings.Replace(cellSettings, change[0], change[1], 1)))
		assert.Assert(t, err != nil, change[1])
	}
}

// Guards against gateway settings that are accepted without an address, and
// against printed settings that ParseGateway rejects.
func TestParseGateway(t *testing.T) {
	text := strings.Replace(cellSettings, "[disk]\nfolder = /data/core\n", "", 1)
	for _, key := range []string{"bootstrap", "max_lease", "keep_ended", "remote_factor", "tolerated_vms"} {
		at := strings.Index(text, key+" =")
		text = text[:at] + text[at+strings.Index(text[at:], "\n")+1:]
	}
	_, err := ParseGateway("f", []byte(text))
	assert.ErrorContains(t, err, "ready")
	text = strings.Replace(text, "peer =", "ready = 10.1.0.20:8181\npeer =", 1)
	g, err := ParseGateway("f", []byte(text))
	assert.NilError(t, err)
	again, err := ParseGateway("f", []byte(g.String()))
	assert.NilError(t, err)
	assert.Equal(t, again.String(), g.String())
}

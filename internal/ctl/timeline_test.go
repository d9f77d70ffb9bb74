package ctl

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/hlc"
	"laburnumgrade/internal/timeline"
)

// serveTimeline serves the events of a process and returns its admin address.
func serveTimeline(t *testing.T, process string, wallMs int64, events ...timeline.Event) string {
	ring := timeline.NewRing(hlc.New(func() time.Time { return time.UnixMilli(wallMs) }), process, "Patan", 1024)
	for _, e := range events {
		ring.Record(e)
	}
	server := httptest.NewServer(timeline.Handler(ring))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against time lines that are not merged in order, a filter that is not
// passed to the processes, an unreachable process that is not reported or whose
// failure suppresses the others, and unescaped text in the HTML page.
func TestTimeline(t *testing.T) {
	first := serveTimeline(t, "entry-1", 1e12, timeline.Event{Kind: timeline.Submitted, Job: "j"},
		timeline.Event{Kind: timeline.Refused, Job: "other", Detail: "<script>alert(1)</script>"})
	second := serveTimeline(t, "control-1", 1e12+5, timeline.Event{Kind: timeline.Planned, Job: "j", Task: "0", Attempt: 4})
	down := closedPort
	page := filepath.Join(t.TempDir(), "page.html")

	got := lgctl(nil, "", "timeline", "--admin", second, "--admin", down, "--admin", first, "--job", "j", "--html", page)
	assert.Equal(t, got.exit, ExitOK, "%+v", got)
	assert.Equal(t, got.stdout, "2001-09-09T01:46:40.000Z entry-1 Patan submitted job=j\n"+
		"2001-09-09T01:46:40.005Z control-1 Patan planned job=j task=0 attempt=4\n")
	assert.Assert(t, strings.Contains(got.stderr, "no time line from: fetch time line (peer "+down+")"), got.stderr)

	// Without --admin the admin addresses of the members are used.
	entry := &fakeEntry{members: []*apiv1.Member{{AdminAddress: first}, {AdminAddress: second}, {}}}
	got = lgctl(nil, "", "timeline", "--json", "--html", page, "--entry", entry.start(t))
	assert.Equal(t, got.exit, ExitOK, "%+v", got)
	var object struct{ Answer mergedTimeline }
	assert.NilError(t, json.Unmarshal([]byte(got.stdout), &object))
	assert.Equal(t, len(object.Answer.Events), 3)
	html, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(html), "<th>control-1</th><th>entry-1</th>"))
	assert.Assert(t, !strings.Contains(string(html), "<script>alert"))
	assert.Assert(t, !strings.Contains(string(html), "http"), "the page must load nothing else")

	assert.Equal(t, lgctl(nil, "", "timeline", "--admin", down).exit, ExitUnreachable)
}

// Guards against exit codes and kinds of events that are missing in the operations
// manual.
func TestReferenceIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for exit, name := range exitNames {
		assert.Assert(t, strings.Contains(string(page), fmt.Sprintf("| %d | `%s` |", exit, name)), name)
	}
	for kind := timeline.Submitted; kind <= timeline.ProcessStopped; kind++ {
		assert.Assert(t, strings.Contains(string(page), "`"+kind.String()+"`"), kind.String())
	}
}

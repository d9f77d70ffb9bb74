package startcost

import (
	"bufio"
	"bytes"
	"fmt"
	"os/exec"
	"regexp"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// part is a part of the work of a start and the functions by which stacks are recognized. The
// first part that matches any function of a stack counts.
type part struct {
	name      string
	functions *regexp.Regexp
}

var parts = []part{
	{"garbage collection", regexp.MustCompile(`runtime\.(gcBgMarkWorker|gcAssistAlloc|bgsweep|bgscavenge|gcStart|gcMarkDone|gcDrain)`)},
	{"log", regexp.MustCompile(`log/slog\.|internal/logging`)},
	{"metrics", regexp.MustCompile(`tally|adapter/metrics`)},
	{"snapshot", regexp.MustCompile(`cell\.\(\*Store\)\.Snapshot|SaveSnapshot`)},
	{"renewal and listing", regexp.MustCompile(`dispatch\.\(\*session\)\.(renewLease|processListing)|platform\.\(\*Workers\)\.RenewLease`)},
	{"end", regexp.MustCompile(`dispatch\.\(\*session\)\.commitListed`)},
	{"start order", regexp.MustCompile(`dispatch\.\(\*session\)\.(start|sendStart)`)},
	{"advice", regexp.MustCompile(`[Aa]dvi[cs]e`)},
	{"plan", regexp.MustCompile(`dispatch\.\(\*term\)\.(run|planOnce)`)},
	{"report", regexp.MustCompile(`platform\.\(\*controlHandler\)`)},
	{"submission", regexp.MustCompile(`cellapi\.Handler|dispatch\.\(\*Leader\)\.Do|cellapi\.serve`)},
	{"apply", regexp.MustCompile(`replica\.\(\*applier\)|cell\.\(\*Store\)\.Apply`)},
	{"commit and encoding", regexp.MustCompile(`internal/replica|internal/raft|dispatch\.\(\*term\)\.pendingCommit|adapter/disk`)},
	{"transport to replicas", regexp.MustCompile(`adapter/peer|peerv1|twirp`)},
	{"other dispatch", regexp.MustCompile(`internal/dispatch`)},
	{"HTTP client connections", regexp.MustCompile(`net/http\.\(\*persistConn\)|net/http\.\(\*Transport\)`)},
	{"HTTP server connections", regexp.MustCompile(`net/http\.\(\*(conn|connReader)\)`)},
	{"runtime scheduler", regexp.MustCompile(`runtime\.(schedule|mcall|findRunnable|park_m|netpoll|sysmon|mstart|morestack)`)},
}

// partOf returns the name of the part that a stack belongs to.
func partOf(stack string) string {
	for _, p := range parts {
		if p.functions.MatchString(stack) {
			return p.name
		}
	}
	return "other"
}

// divide returns the time of a processor profile by part, from the output of pprof -traces.
func divide(traces []byte) map[string]time.Duration {
	times := map[string]time.Duration{}
	var stack strings.Builder
	var value time.Duration
	finish := func() {
		if value > 0 {
			times[partOf(stack.String())] += value
		}
		stack.Reset()
		value = 0
	}
	lines := bufio.NewScanner(bytes.NewReader(traces))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "-----------") {
			finish()
			continue
		}
		fields := strings.Fields(line)
		if len(fields) > 1 && value == 0 {
			if d, err := time.ParseDuration(fields[0]); err == nil {
				value = d
			}
		}
		stack.WriteString(line)
		stack.WriteByte('\n')
	}
	finish()
	return times
}

// printParts prints the division of a processor profile by part.
func printParts(path string) {
	traces, err := exec.Command("go", "tool", "pprof", "-traces", path).Output()
	if err != nil {
		fmt.Println(errors.Wrap(err, "read profile, which is incomplete if the leader has changed"))
		return
	}
	times := divide(traces)
	var total time.Duration
	var names []string
	for name, d := range times {
		total += d
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return times[names[i]] > times[names[j]] })
	fmt.Printf("%-26s %8v\n", "profile", total)
	for _, name := range names {
		fmt.Printf("%-26s %8v %5.1f%%\n", name, times[name], 100*float64(times[name])/float64(total))
	}
}

// Guards against samples of a profile that count for the wrong part or not at all.
func TestDivide(t *testing.T) {
	const traces = `File: lg-cell
Type: cpu
-----------+-------------------------------------------------------
      30ms   encoding/json.Unmarshal
             laburnumgrade/platform.(*Workers).RenewLease
             laburnumgrade/internal/dispatch.(*session).renewLease
-----------+-------------------------------------------------------
     1.20s   runtime.mallocgc
             log/slog.(*Logger).Info
             laburnumgrade/internal/dispatch.(*session).commitListed
-----------+-------------------------------------------------------
      10ms   runtime.gcDrain
             runtime.gcBgMarkWorker
-----------+-------------------------------------------------------
      10ms   runtime.unknown
-----------+-------------------------------------------------------
      10ms   runtime.gcDrain
             runtime.gcAssistAlloc
             laburnumgrade/internal/dispatch.(*term).planOnce
-----------+-------------------------------------------------------
`
	assert.DeepEqual(t, divide([]byte(traces)), map[string]time.Duration{
		"renewal and listing": 30 * time.Millisecond, "log": 1200 * time.Millisecond, "garbage collection": 20 * time.Millisecond, "other": 10 * time.Millisecond,
	})
}

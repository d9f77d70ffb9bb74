package startcost

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"laburnumgrade/test/deployment"
)

var (
	base    = flag.String("startcost.base", "", "folder with the sources of the version to compare with")
	profile = flag.String("startcost.profile", "", "folder for a processor profile of the leader")
	rate    = flag.Int("startcost.rate", 300, "task starts a second")
	seconds = flag.Int("startcost.seconds", 12, "length of a window in seconds")
	warmup  = flag.Int("startcost.warmup", 4, "time of load before it in seconds")
	workers = flag.Int("startcost.workers", 350, "number of workers")
	rounds  = flag.Int("startcost.rounds", 1, "number of windows")
)

// Half of the starts are tasks of small jobs, the others of large ones.
const (
	smallTasks, largeTasks = 3, 25
	smallJob               = `{"spec":"640","steps":[{"count":3,"cpu":2500,"mem_mb":64,"estimate_ms":640}]}`
	largeJob               = `{"spec":"2200","steps":[{"count":25,"cpu":1700,"mem_mb":64,"estimate_ms":2200}]}`
	// A window in which a version has not started its tasks, up to 1/maxMissing, does not count.
	maxMissing = 8
	// settleTime is how long workers take to report to a new leader, twice their interval.
	settleTime       = 3 * time.Second
	adviceDelay      = 10 * time.Millisecond
	adviceValidityMS = 2000
)

// buildProfiled builds the programs of the sources in a folder, with lg-cell writing a profile
// on a signal.
func buildProfiled(t testing.TB, sources, programs string) {
	source, err := filepath.Abs(filepath.Join("testdata", "profile.go"))
	assert.NilError(t, err)
	sources, err = filepath.Abs(sources)
	assert.NilError(t, err)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{filepath.Join(sources, "cmd", "lg-cell", "profile.go"): source}})
	assert.NilError(t, err)
	file := filepath.Join(programs, "overlay.json")
	assert.NilError(t, os.WriteFile(file, overlay, 0o600))
	cmd := exec.Command("go", "build", "-overlay", file, "-o", programs, "./cmd/lg-cell", "./cmd/lg-gateway")
	cmd.Dir = sources
	out, err := cmd.CombinedOutput()
	assert.NilError(t, errors.Wrapf(err, "build programs: %s", out))
}

// startAdviceService starts a stand-in for the advice service that allows seven of ten workers.
func startAdviceService(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(adviceDelay)
		allowed := [][]string{}
		for i, id := range q.Workers {
			if i%10 < 7 {
				allowed = append(allowed, []string{id, "ticket-" + id})
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"allowed": allowed, "validity_ms": adviceValidityMS})
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// load submits jobs at the rate until the context ends and returns the number of those that were
// not accepted.
func load(ctx context.Context, d *deployment.Deployment) *int {
	var mu sync.Mutex
	refused := new(int)
	var calls sync.WaitGroup
	submit := func(id, body string, gateway int) {
		defer calls.Done()
		status, err := deployment.Send(context.Background(), d.Kept, http.MethodPost, d.Gateways[gateway%len(d.Gateways)].Public, deployment.Prefix+id, deployment.FirstHost, body)
		if err != nil || status != http.StatusOK {
			mu.Lock()
			defer mu.Unlock()
			*refused++
		}
	}
	run := func(name, body string, tasks int) {
		ticker := time.NewTicker(time.Duration(2*tasks) * time.Second / time.Duration(*rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				calls.Add(1)
				go submit(fmt.Sprintf("%s%015x", name, n), body, n)
			}
		}
	}
	var runs sync.WaitGroup
	runs.Go(func() { run("5", smallJob, smallTasks) })
	runs.Go(func() { run("7", largeJob, largeTasks) })
	runs.Wait()
	calls.Wait()
	return refused
}

// version is a version of the programs with the cell that runs them.
type version struct {
	name, sources string
	profile       string // file, empty for none
	cell          *deployment.Deployment
	leader        *deployment.Process
	refused       chan *int

	used, total time.Duration // processor time of the leader, until the last check and in all windows
	starts, sum int
}

// deploy builds the programs and starts the cell.
func (v *version) deploy(b *testing.B) {
	programs := b.TempDir()
	buildProfiled(b, v.sources, programs)
	settings := deployment.Defaults
	settings.Workers = deployment.Workers{Count: *workers, MilliCPU: 16000, ReportInterval: 1500 * time.Millisecond}
	settings.Advice = startAdviceService(b)
	settings.Env = []string{"GOMAXPROCS=1", "START_PROFILE=" + v.profile}
	v.cell = deployment.Deploy(b, programs, settings)
	assert.Assert(b, deployment.Await(30*time.Second, func() bool { return v.cell.Leading() != nil }), "no leader")
	v.leader = v.cell.Leading()
}

// check returns the processor time of the leader and the starts since the last check.
func (v *version) check(b *testing.B) (used time.Duration, starts int) {
	now, err := v.leader.ProcessorTime()
	assert.NilError(b, err)
	n := v.cell.CountStarts()
	used, starts = now-v.used, n-v.starts
	v.used, v.starts = now, n
	return used, starts
}

// BenchmarkStart measures the leader's processor time for each start of a task and, with
// -startcost.base, its ratio to that of another version. Both run at the same time, because the
// processor time depends on what else the machine does.
func BenchmarkStart(b *testing.B) {
	versions := []*version{{name: "this", sources: filepath.Join("..", "..")}}
	if *base != "" {
		versions = append(versions, &version{name: "base", sources: *base})
	}
	for _, v := range versions {
		if *profile != "" {
			v.profile = filepath.Join(*profile, v.name+".pprof")
		}
		v.deploy(b)
	}
	time.Sleep(2 * time.Second) // all workers have reported
	ctx, cancel := context.WithTimeout(b.Context(), time.Duration(*warmup+*rounds*(*seconds+3)+1)*time.Second)
	defer cancel()
	for _, v := range versions {
		v.refused = make(chan *int, 1)
		go func() { v.refused <- load(ctx, v.cell) }()
	}
	time.Sleep(time.Duration(*warmup) * time.Second)
	for _, v := range versions {
		v.check(b)
		if v.profile != "" {
			v.leader.Signal(syscall.SIGUSR1)
		}
	}
	for range *rounds {
		time.Sleep(time.Duration(*seconds) * time.Second)
		var used [2]time.Duration
		var starts [2]int
		changed, stalled := false, false
		for i, v := range versions {
			used[i], starts[i] = v.check(b)
			if starts[i] == 0 {
				lines := v.leader.Lines("\"msg\"")
				b.Fatalf("%s: no task has started; log ends with %s", v.name, strings.Join(lines[max(0, len(lines)-5):], "\n"))
			}
			changed = changed || v.cell.Leading() != v.leader
			due := *rate * *seconds
			stalled = stalled || starts[i] < due-due/maxMissing || starts[i] > due+due/maxMissing
		}
		for i, v := range versions {
			if changed || stalled {
				fmt.Printf("%s: %d starts, window not counted, a leader has changed: %t\n", v.name, starts[i], changed)
				continue
			}
			v.total, v.sum = v.total+used[i], v.sum+starts[i]
			fmt.Printf("%s: %d starts, %v of the leader's processor each\n", v.name, starts[i], used[i]/time.Duration(starts[i]))
		}
		if changed {
			time.Sleep(settleTime)
		}
		if changed || stalled {
			for _, v := range versions {
				v.leader = v.cell.Leading()
				v.check(b)
			}
		}
	}
	for _, v := range versions {
		if v.profile != "" {
			v.leader.Signal(syscall.SIGUSR2)
		}
	}
	time.Sleep(time.Second) // the profiles are written
	cancel()
	for _, v := range versions {
		assert.Assert(b, v.sum > 0, "no window counts")
		fmt.Printf("%s in all: %d starts, %v each, %d submissions refused\n", v.name, v.sum, v.total/time.Duration(v.sum), *<-v.refused)
		b.ReportMetric(float64(v.total.Microseconds())/float64(v.sum), v.name+"-us/start")
		if v.profile != "" {
			printParts(v.profile)
		}
	}
	if len(versions) > 1 {
		this, base := versions[0], versions[1]
		ratio := (float64(this.total) / float64(this.sum)) / (float64(base.total) / float64(base.sum))
		fmt.Printf("ratio to the base: %.3f\n", ratio)
		b.ReportMetric(ratio, "ratio")
	}
}

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
	seconds = flag.Int("startcost.seconds", 12, "measured time of a version in seconds")
	warmup  = flag.Int("startcost.warmup", 4, "time of load before it in seconds")
	workers = flag.Int("startcost.workers", 350, "number of workers")
	rounds  = flag.Int("startcost.rounds", 1, "measurements of each version, in turn")
)

// Half of the starts are tasks of small jobs, the others of large ones.
const (
	smallTasks, largeTasks = 3, 25
	smallJob               = `{"spec":"640","steps":[{"count":3,"cpu":2500,"mem_mb":64,"estimate_ms":640}]}`
	largeJob               = `{"spec":"2200","steps":[{"count":25,"cpu":1700,"mem_mb":64,"estimate_ms":2200}]}`
	adviceDelay            = 10 * time.Millisecond
	adviceValidityMS       = 2000
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

// result is what a measurement has found.
type result struct {
	perStart time.Duration // processor time of the leader
	starts   int
	refused  int
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

// measure measures the processor time of the leader under load.
func measure(b *testing.B, programs, profilePath string) result {
	settings := deployment.Defaults
	settings.Workers = deployment.Workers{Count: *workers, MilliCPU: 16000, ReportInterval: 1500 * time.Millisecond}
	settings.Advice = startAdviceService(b)
	settings.Env = []string{"GOMAXPROCS=1", "START_PROFILE=" + profilePath}
	d := deployment.Deploy(b, programs, settings)
	assert.Assert(b, deployment.Await(30*time.Second, func() bool { return d.Leading() != nil }), "no leader")
	time.Sleep(2 * time.Second) // all workers have reported
	ctx, cancel := context.WithTimeout(b.Context(), time.Duration(*warmup+*seconds)*time.Second)
	defer cancel()
	refused := make(chan *int, 1)
	go func() { refused <- load(ctx, d) }()
	time.Sleep(time.Duration(*warmup) * time.Second)
	leader := d.Leading()
	used, err := leader.ProcessorTime()
	assert.NilError(b, err)
	starts := d.CountStarts()
	if profilePath != "" {
		leader.Signal(syscall.SIGUSR1)
	}
	<-ctx.Done()
	after, err := leader.ProcessorTime()
	assert.NilError(b, err)
	r := result{starts: d.CountStarts() - starts}
	if profilePath != "" {
		leader.Signal(syscall.SIGUSR2)
		time.Sleep(500 * time.Millisecond) // the profile is written
	}
	r.refused = *<-refused
	assert.Assert(b, d.Leading() == leader, "the leader has changed")
	if r.starts == 0 {
		lines := leader.Lines("\"msg\"")
		b.Fatalf("no task has started; %d submissions refused; log ends with %s", r.refused, strings.Join(lines[max(0, len(lines)-5):], "\n"))
	}
	r.perStart = (after - used) / time.Duration(r.starts)
	return r
}

// BenchmarkStart measures the leader's processor time for each start of a task and, with
// -startcost.base, its ratio to that of another version.
func BenchmarkStart(b *testing.B) {
	versions := []struct{ name, sources, programs string }{{"this", filepath.Join("..", ".."), b.TempDir()}}
	if *base != "" {
		versions = append(versions, versions[0])
		versions[0].name, versions[0].sources, versions[0].programs = "base", *base, b.TempDir()
	}
	for _, v := range versions {
		buildProfiled(b, v.sources, v.programs)
	}
	sums, starts := map[string]time.Duration{}, map[string]int{}
	for round := range *rounds {
		for _, v := range versions {
			path := ""
			if *profile != "" {
				path = filepath.Join(*profile, fmt.Sprintf("%s-%d.pprof", v.name, round))
			}
			b.Run(fmt.Sprintf("%s-%d", v.name, round), func(b *testing.B) {
				r := measure(b, v.programs, path)
				fmt.Printf("%s: %d starts, %v of the leader's processor each, %d submissions refused\n", v.name, r.starts, r.perStart, r.refused)
				sums[v.name] += r.perStart
				starts[v.name]++
				if path != "" {
					printParts(b, path)
				}
			})
		}
	}
	for _, v := range versions {
		if starts[v.name] > 0 {
			fmt.Printf("%s: %v for each start, mean of %d\n", v.name, sums[v.name]/time.Duration(starts[v.name]), starts[v.name])
		}
	}
	if sums["base"] > 0 {
		fmt.Printf("ratio to the base: %.3f\n", float64(sums["this"])/float64(sums["base"]))
	}
}

// Command demo runs the system with real processes on loopback. It puts
// documents, grants keys, submits jobs, makes calls and withdraws a key, and
// then compares the answers that callers received with the records of the
// emulated targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/internal/standin"
	"laburnumgrade/test/cluster"
)

type options struct {
	Bin    string `long:"bin" default:"bin" description:"folder of the binaries"`
	Keep   bool   `long:"keep" description:"keep settings, data and logs"`
	Small  bool   `long:"small" description:"one VM in each of two data centres"`
	Jobs   int    `long:"jobs" default:"60" description:"jobs to submit"`
	Calls  int    `long:"calls" default:"60" description:"calls to make"`
	Faults bool   `long:"faults" description:"kill one lg-control and one lg-entry during the load"`
}

const (
	jobDocument = `[service]
team = refit
name = foam-order
command = order --foam
class = batch
idempotent = no
exclusive = yes
[size]
cpu = 2
memory = 4GB
[tasks]
count = 1
run_time = 50ms
[limits]
share = 3
cpu = 256
memory = 512GB
queue = 1000
`
	callDocument = `[service]
team = audit
name = visit-slip
command = confirm --visit
class = service
idempotent = no
[size]
cpu = 1
memory = 1GB
[tasks]
count = 8
[limits]
share = 1
cpu = 64
memory = 128GB
queue = 1000
`
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	ok, err := run(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// results counts the answers that callers received.
type results struct {
	mu        sync.Mutex
	submitted int
	refused   int
	unknown   int
	answers   map[string]int
	problems  []string
	// timelineJob is the id of the job whose time line is printed.
	timelineJob string
}

func (t *results) answered(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[id]++
}

// unknownOutcome counts an operation that was answered with the outcome
// "unknown", which a killed process may cause. It must have run at most once.
func (t *results) unknownOutcome() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unknown++
}

func (t *results) problem(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems = append(t.problems, fmt.Sprintf(format, args...))
}

func run(o *options) (bool, error) {
	folder, err := os.MkdirTemp("", "laburnumgrade-demo-")
	if err != nil {
		return false, err
	}
	if o.Keep {
		fmt.Println("demo: files are in", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		return false, err
	}
	c, err := cluster.New(spec(o, bin, folder))
	if err != nil {
		return false, err
	}
	defer c.Stop()
	if err := c.StartAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	return drive(ctx, c, o)
}

func spec(o *options, bin, folder string) cluster.Spec {
	s := cluster.Spec{
		Bin: bin, Folder: folder, DataCentres: []string{"Balaju", "Patan", "Bhaktapur", "Kalanki"},
		VMsPerDataCentre: 2, DisksPerDataCentre: 1, Voters: 3, FleetVoters: 5,
		StandinArgs: []string{"--workers", "3"},
	}
	if o.Small {
		s.DataCentres = s.DataCentres[:2]
		s.VMsPerDataCentre = 1
		s.Voters, s.FleetVoters = 1, 1
	}
	return s
}

func drive(ctx context.Context, c *cluster.Cluster, o *options) (bool, error) {
	fmt.Printf("demo: %d control and %d entry processes in %d data centres\n", len(c.Controls), len(c.Entries), len(c.Spec.DataCentres))
	entry := c.Entries[0]
	version, err := c.PutDocument(ctx, entry, jobDocument)
	if err != nil {
		return false, errors.Wrap(err, "put document refit/foam-order")
	}
	if _, err := c.PutDocument(ctx, entry, callDocument); err != nil {
		return false, errors.Wrap(err, "put document audit/visit-slip")
	}
	refit, err := c.GrantKey(ctx, entry, "refit")
	if err != nil {
		return false, errors.Wrap(err, "grant key of team refit")
	}
	audit, err := c.GrantKey(ctx, entry, "audit")
	if err != nil {
		return false, errors.Wrap(err, "grant key of team audit")
	}
	if err := c.AwaitInForce(ctx, entry, audit.Change.Index); err != nil {
		return false, errors.Wrap(err, "wait for the configuration")
	}
	if err := c.AwaitVoters(ctx); err != nil {
		return false, errors.Wrap(err, "wait for all replicas")
	}
	fmt.Printf("demo: documents (first version %d) and keys are in force\n", version)
	t := &results{answers: map[string]int{}}
	load(ctx, c, o, t, refit.Key, audit.Key)
	if err := withdraw(ctx, c, t, refit); err != nil {
		return false, err
	}
	report, err := c.Report(ctx)
	if err != nil {
		return false, err
	}
	if err := showTimeline(ctx, c, t); err != nil {
		return false, err
	}
	return checkResults(t, report) && (o.Faults || t.unknown == 0), nil
}

// showTimeline prints the time line of one job across the processes.
func showTimeline(ctx context.Context, c *cluster.Cluster, t *results) error {
	args := []string{"timeline", "--job", t.timelineJob}
	for _, p := range append(slices.Clone(c.Controls), c.Entries...) {
		args = append(args, "--admin", p.Admin)
	}
	fmt.Println("demo: time line of job", t.timelineJob)
	cmd := exec.CommandContext(ctx, filepath.Join(c.Spec.Bin, "lgctl"), args...)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return errors.Wrap(cmd.Run(), "lgctl timeline")
}

func load(ctx context.Context, c *cluster.Cluster, o *options, t *results, jobKey, callKey string) {
	var wg sync.WaitGroup
	if o.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			killAndRestart(c, t)
		}()
	}
	for i := range o.Jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			submitJob(ctx, c, i, t, jobKey)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	for i := range o.Calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			call(ctx, c, i, t, callKey)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
}

const (
	faultDelay   = 200 * time.Millisecond
	restartDelay = 2 * time.Second
	// acceptUnknownAfter is the time after which a caller stops resending a call
	// whose outcome is unknown.
	acceptUnknownAfter = 12 * time.Second
)

// killAndRestart kills one control process, which leads groups, and one entry
// during the load, and starts them again after restartDelay.
func killAndRestart(c *cluster.Cluster, t *results) {
	time.Sleep(faultDelay)
	killed := []*cluster.Process{c.Controls[0], c.Entries[1]}
	for _, p := range killed {
		p.Kill()
		fmt.Println("demo: killed", p.Name)
	}
	time.Sleep(restartDelay)
	for _, p := range killed {
		if err := c.Start(p); err != nil {
			t.problem("%v", err)
		}
	}
}

// submitJob submits one job and waits for its result. It resends both requests
// through other entries until they are answered.
func submitJob(ctx context.Context, c *cluster.Cluster, i int, t *results, key string) {
	id := cluster.NewID()
	t.mu.Lock()
	t.submitted++
	t.mu.Unlock()
	attempt := i
	err := cluster.Retry(ctx, 30*time.Second, func(ctx context.Context) error {
		attempt++
		caller := c.Caller(c.Entries[attempt%len(c.Entries)], key)
		_, err := caller.SubmitJob(ctx, connect.NewRequest(&apiv1.SubmitJobRequest{
			JobId: id, Team: "refit", Service: "foam-order", Payload: []byte(`{"run_ms":50}`),
		}))
		return err
	})
	if err != nil {
		t.problem("job %s was not accepted: %v", id, err)
		return
	}
	err = cluster.Retry(ctx, 60*time.Second, func(ctx context.Context) error {
		attempt++
		caller := c.Caller(c.Entries[attempt%len(c.Entries)], key)
		r, err := caller.WaitJob(ctx, connect.NewRequest(&apiv1.WaitJobRequest{JobId: id, WaitMs: 5000}))
		if err != nil {
			return err
		}
		if r.Msg.State != apiv1.JobState_JOB_STATE_ENDED {
			return errors.Errorf("job %s is %v", id, r.Msg.State)
		}
		checkJob(t, id, r.Msg)
		return nil
	})
	if err != nil {
		t.problem("job %s has no answer: %v", id, err)
	}
}

func checkJob(t *results, id string, j *apiv1.Job) {
	want := "done " + id + "/0"
	if j.Outcome == apiv1.Outcome_OUTCOME_UNKNOWN {
		t.unknownOutcome()
		return
	}
	if j.Outcome != apiv1.Outcome_OUTCOME_OK || string(j.Results[0].Answer) != want {
		t.problem("job %s ended with %v, answer %q", id, j.Outcome, j.Results[0].Answer)
		return
	}
	t.answered(id + "/0")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timelineJob = id
}

// call makes one call. It resends the call with the same id through other
// entries until the outcome is known, or has been unknown for
// acceptUnknownAfter.
func call(ctx context.Context, c *cluster.Cluster, i int, t *results, key string) {
	id := cluster.NewID()
	t.mu.Lock()
	t.submitted++
	t.mu.Unlock()
	body := fmt.Sprintf(`{"run_ms":20,"slip":%d}`, i)
	attempt := i
	unknown := false
	began := time.Now()
	err := cluster.Retry(ctx, 30*time.Second, func(ctx context.Context) error {
		attempt++
		caller := c.Caller(c.Entries[attempt%len(c.Entries)], key)
		r, err := caller.Call(ctx, connect.NewRequest(&apiv1.CallRequest{
			RequestId: id, Team: "audit", Service: "visit-slip", Body: []byte(body), DeadlineMs: 5000,
		}))
		if err != nil {
			return err
		}
		if r.Msg.Outcome == apiv1.Outcome_OUTCOME_UNKNOWN && time.Since(began) > acceptUnknownAfter {
			unknown = true
			return nil
		}
		if r.Msg.Outcome != apiv1.Outcome_OUTCOME_OK {
			return errors.Errorf("%v: %s", r.Msg.Outcome, r.Msg.Detail)
		}
		if string(r.Msg.Body) != body || r.Msg.RequestId != id {
			t.problem("call %s received the answer %q", id, r.Msg.Body)
		}
		return nil
	})
	if err != nil {
		t.problem("call %s has no answer: %v", id, err)
		return
	}
	if unknown {
		t.unknownOutcome()
		return
	}
	t.answered(id)
}

// withdraw withdraws the key and checks that every entry refuses the next
// submission.
func withdraw(ctx context.Context, c *cluster.Cluster, t *results, key *apiv1.GrantKeyResponse) error {
	entry := c.Entries[0]
	started := time.Now()
	r, err := c.Operator(entry).WithdrawKey(ctx, connect.NewRequest(&apiv1.WithdrawKeyRequest{KeyId: key.KeyId, OperationId: cluster.NewID()}))
	if err != nil {
		return errors.Wrap(err, "withdraw key")
	}
	if err := c.AwaitInForce(ctx, entry, r.Msg.Change.Index); err != nil {
		return errors.Wrap(err, "wait for the withdrawal")
	}
	fmt.Printf("demo: the withdrawal was in force everywhere after %d ms\n", time.Since(started).Milliseconds())
	for _, e := range c.Entries {
		t.submitted++
		_, err := c.Caller(e, key.Key).SubmitJob(ctx, connect.NewRequest(&apiv1.SubmitJobRequest{
			JobId: cluster.NewID(), Team: "refit", Service: "foam-order",
		}))
		if connect.CodeOf(err) != connect.CodeFailedPrecondition {
			t.problem("entry %s did not refuse the withdrawn key: %v", e.Name, err)
			continue
		}
		t.refused++
	}
	return nil
}

// checkResults compares the answers with the records of the targets and reports
// whether every operation was answered correctly and executed at most once.
func checkResults(t *results, report *standin.Report) bool {
	completed := map[string]int{}
	doubled := report.Summary.Overlapping
	started := map[string]int{}
	for _, r := range report.Runs {
		// Instances of services may run more than once, since they are restarted.
		if strings.HasPrefix(r.ID, "service/") {
			continue
		}
		started[r.ID]++
		if started[r.ID] == 2 {
			doubled++
		}
		if r.Completed {
			completed[r.ID]++
		}
	}
	once, lost := 0, 0
	for id, n := range t.answers {
		if n == 1 && completed[id] == 1 {
			once++
		}
		if completed[id] == 0 {
			lost++
		}
	}
	lost += t.submitted - t.refused - t.unknown - len(t.answers)
	for _, p := range t.problems {
		fmt.Println("demo: problem:", p)
	}
	if t.unknown > 0 {
		fmt.Printf("demo: %d outcome unknown\n", t.unknown)
	}
	overcommitted := report.Summary.Overcommitted + report.Summary.Overfilled
	fmt.Printf("demo: %d submitted, %d answered once, %d refused not-run, %d lost, %d doubled, %d overcommitted\n",
		t.submitted, once, t.refused, lost, doubled, overcommitted)
	return lost == 0 && doubled == 0 && overcommitted == 0 && once+t.refused+t.unknown == t.submitted && len(t.problems) == 0
}

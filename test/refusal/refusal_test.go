package refusal

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/test/deployment"
)

var (
	seeds     = flag.Int("refusal.seeds", 1, "number of seeds to play")
	firstSeed = flag.Uint64("refusal.first", 1, "first seed")
)

const (
	rounds          = 10 // per seed
	chosenRounds    = 7  // of these, with followers that stop, see newPlan
	clients         = 60
	submissionTime  = 300 * time.Millisecond
	maxTimeToStart  = 15 * time.Second // of an accepted job, after the last round
	maxCancelTime   = 3 * time.Second  // from the answer to the last start
	calmTime        = time.Second
	maxTimeToCalm   = 30 * time.Second
	maxShownJobs    = 3
	maxShownLogLine = 40
)

// body is a job; it takes the duration of its tasks in ms.
const body = `{"spec":"%d","steps":[{"count":2,"cpu":100,"mem_mb":64,"estimate_ms":100}]}`

// rejections are the answers that promise that a submission is not carried out.
var rejections = []int{
	http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusGone, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// try is one request of a client about a job.
type try struct {
	gateway        string
	sent, answered time.Duration // since the deployment began
	status         int           // 0 without an answer
	err            error
}

func (t try) String() string {
	if t.err != nil {
		return fmt.Sprintf("%s at %d ms: no answer after %d ms: %v", t.gateway, t.sent.Milliseconds(), (t.answered - t.sent).Milliseconds(), t.err)
	}
	return fmt.Sprintf("%s at %d ms: status %d after %d ms", t.gateway, t.sent.Milliseconds(), t.status, (t.answered - t.sent).Milliseconds())
}

// job is a job with what its clients have seen and intend.
type job struct {
	id       string
	round    int
	tries    []try // POST
	cancels  []try // DELETE
	at       time.Duration
	maxTries int
	delay    time.Duration // between tries
	patience time.Duration // for an answer
	keeps    bool          // its connection
	gateway  int           // of the first try
	cancelAt time.Duration // 0 for never
	taskMS   int
}

// rejected reports whether every try was answered with a rejection.
func (j *job) rejected() bool {
	return len(j.tries) > 0 && !slices.ContainsFunc(j.tries, func(t try) bool { return t.err != nil || !slices.Contains(rejections, t.status) })
}

func (j *job) accepted() bool {
	return slices.ContainsFunc(j.tries, func(t try) bool { return t.err == nil && t.status == http.StatusOK })
}

// cancelled returns when a cancellation was first acknowledged.
func (j *job) cancelled() (time.Duration, bool) {
	for _, c := range j.cancels {
		if c.err == nil && (c.status == http.StatusOK || c.status == http.StatusGone) {
			return c.answered, true
		}
	}
	return 0, false
}

// plan is what happens in a round. Times are since its begin.
type plan struct {
	jobs             []*job
	stops            string // "followers", "leader" or "nothing"
	stopAt, stopTime time.Duration
	host, key        string
	configureAt      time.Duration
	returnAfter      time.Duration // from the acknowledgement
	resends          bool          // the operator sends the overtaken configuration again
	restarts         string        // "gateway", "leader" or "nothing"
	restartAt        time.Duration
}

// between returns a random time of whole milliseconds in [low, high].
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N((high-low).Milliseconds()+1))*time.Millisecond
}

// newPlan draws a round. In the first chosenRounds the followers stop for longer than an attempt
// of a gateway takes, 450 ms; the other host or key is sent meanwhile and stays while the
// gateways may repeat their calls, 1200 ms at most.
func newPlan(rng *rand.Rand, seed uint64, round int) *plan {
	p := &plan{
		stops: []string{"followers", "leader", "nothing"}[rng.IntN(3)], stopAt: between(rng, 50*time.Millisecond, 250*time.Millisecond),
		stopTime: between(rng, 300*time.Millisecond, time.Second), host: deployment.FirstHost, key: deployment.FirstKey, configureAt: between(rng, 100*time.Millisecond, 500*time.Millisecond),
		returnAfter: between(rng, 0, time.Second), resends: rng.IntN(2) == 0,
		restarts: []string{"nothing", "gateway", "leader"}[rng.IntN(3)], restartAt: between(rng, 0, 600*time.Millisecond),
	}
	changesHost := rng.IntN(2) == 0
	if round < chosenRounds {
		p.stops, p.restarts, changesHost = "followers", "nothing", round%2 == 0
		p.stopAt, p.stopTime = between(rng, 100*time.Millisecond, 200*time.Millisecond), between(rng, 550*time.Millisecond, 800*time.Millisecond)
		p.configureAt, p.returnAfter = between(rng, 200*time.Millisecond, 400*time.Millisecond), between(rng, 600*time.Millisecond, 1200*time.Millisecond)
	}
	if changesHost {
		p.host = deployment.OtherHost
	} else {
		p.key = deployment.OtherKey
	}
	for i := range clients {
		j := &job{
			id: fmt.Sprintf("%08x%04x%04x", uint32(seed), round, i), round: round, at: between(rng, 0, submissionTime), maxTries: []int{1, 1, 2, 4}[rng.IntN(4)],
			delay: between(rng, 20*time.Millisecond, 500*time.Millisecond), patience: 3 * time.Second, keeps: rng.IntN(2) == 0, gateway: rng.IntN(2), taskMS: 50 + rng.IntN(150),
		}
		if rng.IntN(10) == 0 {
			j.patience = between(rng, 100*time.Millisecond, 900*time.Millisecond)
		}
		if rng.IntN(8) == 0 {
			j.cancelAt = between(rng, time.Millisecond, 1500*time.Millisecond)
		}
		p.jobs = append(p.jobs, j)
	}
	return p
}

func (p *plan) String() string {
	change := "host"
	if p.host == deployment.FirstHost {
		change = "key"
	}
	return fmt.Sprintf("%s stopped at %v for %v, other %s sent at %v and the first %v later, %s restarted at %v", p.stops, p.stopAt, p.stopTime, change, p.configureAt, p.returnAfter, p.restarts, p.restartAt)
}

// soak is a deployment whose rounds are played.
type soak struct {
	*deployment.Deployment
}

// request sends one request about a job through a gateway.
func (d *soak) request(ctx context.Context, j *job, method string, gateway int, text string) try {
	ctx, cancel := context.WithTimeout(ctx, j.patience)
	defer cancel()
	client := d.Once
	if j.keeps {
		client = d.Kept
	}
	g := d.Gateways[gateway%len(d.Gateways)]
	t := try{gateway: g.Name, sent: d.Now()}
	t.status, t.err = deployment.Send(ctx, client, method, g.Public, deployment.Prefix+j.id, deployment.FirstHost, text)
	t.answered = d.Now()
	return t
}

// submit hands a job in, and repeats a request without an answer that is final at the
// other gateway.
func (d *soak) submit(ctx context.Context, j *job) {
	for n := range j.maxTries {
		if n > 0 {
			time.Sleep(j.delay)
		}
		t := d.request(ctx, j, http.MethodPost, j.gateway+n, fmt.Sprintf(body, j.taskMS))
		j.tries = append(j.tries, t)
		if t.err == nil && t.status < http.StatusInternalServerError && t.status != http.StatusTooManyRequests {
			return
		}
	}
}

// play plays a round and waits until all is calm again.
func (d *soak) play(t *testing.T, p *plan) {
	leader := d.Leading()
	assert.Assert(t, leader != nil, "no worker was told who leads")
	var group sync.WaitGroup
	at := func(delay time.Duration, f func()) {
		group.Go(func() {
			time.Sleep(delay)
			f()
		})
	}
	for _, j := range p.jobs {
		canceller := &job{id: j.id, patience: 3 * time.Second}
		at(j.at, func() { d.submit(t.Context(), j) })
		if j.cancelAt > 0 {
			at(j.cancelAt, func() {
				j.cancels = append(j.cancels, d.request(t.Context(), canceller, http.MethodDelete, j.gateway+1, ""))
			})
		}
	}
	for _, c := range d.Cells {
		if p.stops == "leader" && c == leader || p.stops == "followers" && c != leader {
			at(p.stopAt, func() {
				c.Signal(syscall.SIGSTOP)
				time.Sleep(p.stopTime)
				c.Signal(syscall.SIGCONT)
			})
		}
	}
	at(p.configureAt, func() {
		d.Configure(t, p.host, p.key)
		overtaken := d.Version
		time.Sleep(p.returnAfter)
		d.Configure(t, deployment.FirstHost, deployment.FirstKey)
		if p.resends {
			d.SendConfiguration(t, overtaken, p.host, p.key)
		}
	})
	restarted := map[string]*deployment.Process{"gateway": d.Gateways[0], "leader": leader}[p.restarts]
	if restarted != nil {
		at(p.restartAt, func() {
			<-restarted.Signal(syscall.SIGTERM)
			if err := restarted.Start(); err != nil {
				t.Errorf("%s: %v", restarted.Name, err)
			}
		})
	}
	group.Wait()
	d.awaitCalm(t)
}

// awaitCalm waits until a job handed in at each gateway has started and nothing has started
// for calmTime.
func (d *soak) awaitCalm(t *testing.T) {
	for i := range d.Gateways {
		j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), patience: 3 * time.Second}
		ran := deployment.Await(maxTimeToCalm, func() bool {
			d.request(t.Context(), j, http.MethodPost, i, fmt.Sprintf(body, 1))
			return len(d.StartsOf(j.id)) > 0
		})
		assert.Assert(t, ran, "no job handed in at gateway %d starts", i+1)
	}
	last, since := d.CountStarts(), time.Now()
	calm := deployment.Await(maxTimeToCalm, func() bool {
		if n := d.CountStarts(); n != last {
			last, since = n, time.Now()
		}
		return time.Since(since) >= calmTime
	})
	assert.Assert(t, calm, "tasks do not cease to start")
}

// summary counts the answers to the jobs, and the rejected jobs that ran.
func (d *soak) summary(jobs []*job) string {
	answers, rejected, ran := map[string]int{}, 0, 0
	for _, j := range jobs {
		for _, t := range j.tries {
			answers[fmt.Sprint(t.status)]++
		}
		if j.rejected() {
			rejected++
			if len(d.StartsOf(j.id)) > 0 {
				ran++
			}
		}
	}
	return fmt.Sprintf("tries by status %v; of %d jobs rejected %d ran", answers, rejected, ran)
}

// describe returns what is known of a job.
func (d *soak) describe(seed uint64, j *job) string {
	text := []string{fmt.Sprintf("seed %d, round %d, job %s", seed, j.round, j.id)}
	for _, t := range j.tries {
		text = append(text, "POST through "+t.String())
	}
	for _, t := range j.cancels {
		text = append(text, "DELETE through "+t.String())
	}
	for _, s := range d.StartsOf(j.id) {
		text = append(text, fmt.Sprintf("%s starts on %s at %d ms", s.Task, s.Worker, s.At.Milliseconds()))
	}
	var lines []string
	for _, p := range d.All() {
		lines = append(lines, p.Lines(j.id)...)
	}
	return strings.Join(append(text, lines[:min(len(lines), maxShownLogLine)]...), "\n    ")
}

// check checks the promises made to the clients of the jobs. Without an answer 504 no attempt
// had an unknown outcome, so that the rounds show nothing.
func (d *soak) check(t *testing.T, seed uint64, jobs []*job) {
	assert.Assert(t, slices.ContainsFunc(jobs, func(j *job) bool {
		return slices.ContainsFunc(j.tries, func(t try) bool { return t.status == http.StatusGatewayTimeout })
	}), "no request had an unknown outcome")
	lost := func(j *job) bool { return j.accepted() && len(j.cancels) == 0 && len(d.StartsOf(j.id)) == 0 }
	deployment.Await(maxTimeToStart, func() bool { return !slices.ContainsFunc(jobs, lost) })
	promises := []struct {
		failure string
		broken  func(j *job) bool
	}{
		{"ran although every try was rejected", func(j *job) bool { return j.rejected() && len(d.StartsOf(j.id)) > 0 }},
		{"were accepted and lost", lost},
		{"started after they were cancelled", func(j *job) bool {
			at, ok := j.cancelled()
			return ok && slices.ContainsFunc(d.StartsOf(j.id), func(s deployment.Start) bool { return s.At > at+maxCancelTime })
		}},
	}
	for _, p := range promises {
		n := 0
		for _, j := range jobs {
			if !p.broken(j) {
				continue
			}
			if n++; n <= maxShownJobs {
				t.Errorf("%s: %s", p.failure, d.describe(seed, j))
			}
		}
		t.Logf("seed %d: %d of %d jobs %s", seed, n, len(jobs), p.failure)
	}
}

// Guards against jobs that run although every try to hand them in was rejected, that are
// accepted and lost, or that start after they were cancelled.
func TestRejectedJobsDoNotRun(t *testing.T) {
	programs := t.TempDir()
	assert.NilError(t, deployment.Build(programs))
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			d := &soak{deployment.Deploy(t, programs, deployment.Defaults)}
			d.awaitCalm(t)
			var jobs []*job
			for round := range rounds {
				p := newPlan(rng, seed, round)
				d.play(t, p)
				jobs = append(jobs, p.jobs...)
				t.Logf("seed %d, round %d: %s; %s", seed, round, p, d.summary(p.jobs))
			}
			d.check(t, seed, jobs)
		})
	}
}

package dispatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/structs"
)

// fakeLog commits at once and leads while term is not 0.
type fakeLog struct {
	mu    sync.Mutex
	term  uint64
	since time.Duration
	// lapsed leaders have lost their lease, but no other leads.
	lapsed bool
	index  uint64
	apply  func(index uint64, command []byte) any
}

func (l *fakeLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return nil, &port.NotLeaderError{Group: "cell"}
	}
	l.index++
	return l.apply(l.index, command), nil
}

func (l *fakeLog) Lease() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since, l.term != 0 && !l.lapsed
}

func (l *fakeLog) Leader() (id, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 {
		return "", ""
	}
	return "self#1", "self"
}

func (l *fakeLog) Term() (term, commit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.index
}

// lead makes the log lead in a term; 0 ends the leadership.
func (l *fakeLog) lead(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.since = term, l.since+1
}

// lapse takes the lease away, or gives it back.
func (l *fakeLog) lapse(lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapsed = lapsed
}

// fakeFleet emulates workers as the platform's pages describe them: leases, fences,
// deadlines, ends that are listed until they are noted.
type fakeFleet struct {
	t       *testing.T
	began   time.Time
	mu      sync.Mutex
	workers map[string]*fakeWorker
	// starts counts how often each task began to run.
	starts map[string]int
}

type fakeWorker struct {
	born     int64
	clockAt  time.Time // when its clock showed 0
	fence    uint64
	deadline int64
	running  map[attemptKey]*fakeRun
	refused  map[cell.TaskKey]uint32
	ends     []ListedEnd
	last     uint64
	// silent workers get no orders and give no answers.
	silent bool
	// hung workers list attempts that make no progress.
	hung bool
	// atWork workers list attempts as fully at work.
	atWork bool
	// tail returns the load that the worker lists for each attempt.
	tail func(w *fakeWorker) float64
	// late workers answer no start and carry it out after this time.
	late time.Duration
	// work is how long a task takes, and how is how it ends.
	work time.Duration
	how  cell.Outcome
}

type fakeRun struct {
	began, until   time.Time
	speedReduction int
}

var errNoAnswer = errors.New("no answer")

func newFakeFleet(t *testing.T) *fakeFleet {
	return &fakeFleet{t: t, began: time.Now(), workers: map[string]*fakeWorker{}, starts: map[string]int{}}
}

func (f *fakeFleet) add(id string, born int64) *fakeWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := newFakeWorker(born, &fakeWorker{work: time.Second, how: cell.EndedDone})
	f.workers[id] = w
	return w
}

// newFakeWorker returns a life that behaves like an earlier one.
func newFakeWorker(born int64, earlier *fakeWorker) *fakeWorker {
	return &fakeWorker{
		born: born, clockAt: time.Now(), running: map[attemptKey]*fakeRun{}, refused: map[cell.TaskKey]uint32{},
		work: earlier.work, how: earlier.how, atWork: earlier.atWork,
	}
}

// change changes a worker under the lock.
func (f *fakeFleet) change(id string, change func(w *fakeWorker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.workers[id])
}

func (w *fakeWorker) clock() int64 { return time.Since(w.clockAt).Milliseconds() }

// settle ends what is done or has lost its lease.
func (w *fakeWorker) settle() {
	lapsed := w.clockAt.Add(time.Duration(w.deadline) * time.Millisecond)
	for k, r := range w.running {
		switch {
		case !r.until.After(time.Now()) && r.until.Before(lapsed):
			w.end(k, w.how)
		case !lapsed.After(time.Now()):
			w.end(k, cell.EndedEarly)
		}
	}
}

func (w *fakeWorker) end(k attemptKey, how cell.Outcome) {
	delete(w.running, k)
	w.refused[k.task] = max(w.refused[k.task], k.run)
	w.last++
	w.ends = append(w.ends, ListedEnd{Number: w.last, End: cell.End{Task: k.task, Run: k.run, How: how}})
}

// reach returns a worker that answers.
func (f *fakeFleet) reach(ctx context.Context, t Target) (*fakeWorker, error) {
	w := f.workers[t.ID]
	if w == nil || w.silent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, errNoAnswer
	}
	w.settle()
	return w, nil
}

func (f *fakeFleet) Start(ctx context.Context, t Target, o *StartOrder) (OrderReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(ctx, t)
	if err != nil {
		return OrderReply{}, err
	}
	if late := w.late; late > 0 {
		order := *o
		time.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			w.settle()
			f.begin(w, &order)
		})
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return OrderReply{}, errNoAnswer
	}
	return OrderReply{Answer: f.begin(w, o), ClockMS: w.clock()}, nil
}

// begin carries a start out.
func (f *fakeFleet) begin(w *fakeWorker, o *StartOrder) OrderAnswer {
	k := attemptKey{o.Task, o.Run}
	switch {
	case o.Fence < w.fence:
		return StaleFence
	case w.running[k] != nil:
		return Done
	case o.Run <= w.refused[o.Task]:
		return StaleRun
	case o.DeadlineMS < w.clock():
		return PastDeadline
	}
	w.fence = o.Fence
	w.deadline = max(w.deadline, o.DeadlineMS)
	w.running[k] = &fakeRun{began: time.Now(), until: time.Now().Add(w.work)}
	f.starts[fmt.Sprint(o.Task)]++
	f.check(o.Task)
	return Done
}

// check fails the test if a task runs twice at the same time.
func (f *fakeFleet) check(task cell.TaskKey) {
	n := 0
	for _, w := range f.workers {
		w.settle()
		for k := range w.running {
			if k.task == task {
				n++
			}
		}
	}
	if n > 1 {
		f.t.Errorf("task %v runs %d times at %v", task, n, time.Since(f.began))
	}
}

func (f *fakeFleet) Stop(ctx context.Context, t Target, o *StopOrder) (OrderReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(ctx, t)
	if err != nil {
		return OrderReply{}, err
	}
	if o.Fence < w.fence {
		return OrderReply{Answer: StaleFence, ClockMS: w.clock()}, nil
	}
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	if k := (attemptKey{o.Task, o.Run}); w.running[k] != nil {
		w.end(k, cell.EndedEarly)
	}
	return OrderReply{Answer: Done, ClockMS: w.clock()}, nil
}

// Pace notes the pace of a running attempt.
func (f *fakeFleet) Pace(ctx context.Context, t Target, o *PaceOrder) (OrderReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(ctx, t)
	if err != nil {
		return OrderReply{}, err
	}
	if r := w.running[attemptKey{o.Task, o.Run}]; r != nil {
		r.speedReduction = fullPace - o.SpeedPercent
	}
	return OrderReply{Answer: Done, ClockMS: w.clock()}, nil
}

func (f *fakeFleet) RenewLease(ctx context.Context, t Target, o *RenewLeaseOrder) (*AttemptListing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(ctx, t)
	if err != nil {
		return nil, err
	}
	if o.Fence < w.fence {
		return &AttemptListing{Answer: StaleFence, ClockMS: w.clock()}, nil
	}
	w.fence = o.Fence
	w.deadline = max(w.deadline, o.DeadlineMS)
	for waited := time.Duration(0); waited < o.MaxWait && len(w.ends) == 0; waited += 10 * time.Millisecond {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		if ctx.Err() != nil {
			return nil, errNoAnswer
		}
		if w.silent {
			f.mu.Unlock()
			<-ctx.Done()
			f.mu.Lock()
			return nil, errNoAnswer
		}
		w.settle()
	}
	l := &AttemptListing{Answer: Done, ClockMS: w.clock(), Born: w.born}
	for k, r := range w.running {
		percent := 100 * float64(time.Since(r.began)) / float64(w.work)
		if w.hung {
			percent = 0
		}
		if w.atWork {
			percent = 100
		}
		load := 0.0
		if w.tail != nil {
			load = w.tail(w)
		}
		l.Running = append(l.Running, RunningAttempt{Task: k.task, Run: k.run, ProgressPercent: percent, Load: load})
	}
	var kept []ListedEnd
	for _, e := range w.ends {
		if e.Number > o.AcknowledgedEnd {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	l.Ended = append(l.Ended, kept...)
	return l, nil
}

// testCell is a leader with a fake log and fake workers.
type testCell struct {
	t      *testing.T
	log    *fakeLog
	fleet  *fakeFleet
	store  *cell.Store
	leader *Leader
}

// Jobs of the first queue have 20 s, those of the second about 2 s.
const (
	queuePath = "/q/"
	briefPath = "/b/"
)

// run runs a test in simulated time.
func run(t *testing.T, workers int, test func(b *testCell)) {
	runWith(t, workers, func(*Config) {}, test)
}

// runWith runs a test of a leader with other settings.
func runWith(t *testing.T, workers int, change func(c *Config), test func(b *testCell)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testCell{t: t, log: &fakeLog{}, fleet: newFakeFleet(t)}
		b.store = cell.NewStore(func(c *cell.Command) { b.leader.Applied(c) })
		b.log.apply = b.store.Apply
		c := Config{
			Log: b.log, Store: b.store, Clock: port.NewSystemClock(), Workers: b.fleet, PeerAddress: "self",
			Members: func() []string { return nil }, OnJoin: func(string, string) {},
			Bounds: Bounds{EndedJobRetention: time.Hour, MaxLease: 6 * time.Second, RemoteFactor: 2}, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		}
		change(&c)
		b.leader = New(c)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			b.leader.Run(ctx)
			close(stopped)
		}()
		b.lead(1)
		b.do(&cellapi.Call{Configure: &cell.Configuration{
			Version: 1, Services: []cell.Service{{Name: service}},
			Queues: []cell.Queue{
				{Name: "q", Host: "h", Prefix: queuePath, Service: service, TimeoutMS: 1000, Attempts: 2, ObjectiveMS: 20_000, Open: true},
				{Name: "b", Host: "h", Prefix: briefPath, Service: service, TimeoutMS: 1000, Attempts: 2, ObjectiveMS: 1000, Stretch: 1, Open: true},
			},
		}})
		for i := range workers {
			b.register(fmt.Sprintf("w%d", i), 1, i)
		}
		test(b)
		cancel()
		<-stopped
		time.Sleep(time.Minute) // what was delayed comes to its end
	})
}

func (b *testCell) lead(term uint64) {
	b.log.lead(0)
	time.Sleep(200 * time.Millisecond)
	b.log.lead(term)
	time.Sleep(200 * time.Millisecond)
}

func (b *testCell) register(id string, born int64, number int) {
	b.fleet.add(id, born)
	b.do(firstReport(id, born, number))
}

// restartWorker starts a new life of a worker, also after the leader has gone.
func (b *testCell) restartWorker(id string, born int64, number int) {
	b.fleet.change(id, func(w *fakeWorker) { *w = *newFakeWorker(born, w) })
	b.leader.Do(context.Background(), firstReport(id, born, number))
}

func firstReport(id string, born int64, number int) *cellapi.Call {
	return &cellapi.Call{Report: &cellapi.Report{
		Register: cell.Register{
			ID: id, Born: born, Address: fmt.Sprintf("10.0.0.%d:80", number), Service: service,
			Capacity: structs.Resources{MilliCPU: 4000, MemoryBytes: 4 << 30},
		},
		Sequence: 1,
	}}
}

func (b *testCell) do(c *cellapi.Call) *cellapi.Reply {
	b.t.Helper()
	r := b.leader.Do(b.t.Context(), c)
	assert.Equal(b.t, r.Refused+r.Unknown, "")
	assert.Equal(b.t, r.Verdict, cell.Accepted)
	return r
}

func jobRequest(id string) cell.Request { return cell.Request{Host: "h", Path: queuePath + id} }

func (b *testCell) submit(id string, steps ...cell.Step) {
	b.t.Helper()
	b.submitTo(queuePath, id, steps...)
}

func (b *testCell) submitTo(path, id string, steps ...cell.Step) {
	b.t.Helper()
	r := cell.Request{Host: "h", Path: path + id}
	b.do(&cellapi.Call{Submit: &cell.Submit{Request: r, Job: cell.Submission{Spec: "s", Steps: steps}}})
}

func (b *testCell) state(path, id string) cell.JobState {
	b.t.Helper()
	return b.do(&cellapi.Call{Status: &cell.Request{Host: "h", Path: path + id}}).Status.State
}

// until waits for a state and returns how long it took.
func (b *testCell) until(id string, state cell.JobState, limit time.Duration) time.Duration {
	b.t.Helper()
	return b.waitForStateAt(queuePath, id, state, limit)
}

func (b *testCell) waitForStateAt(path, id string, state cell.JobState, limit time.Duration) time.Duration {
	b.t.Helper()
	began := time.Now()
	for b.state(path, id) != state {
		if time.Since(began) > limit {
			b.t.Fatalf("job %s is in state %d after %v", id, b.state(path, id), limit)
		}
		b.reportAll()
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// reportAll makes all workers that can be reached report.
func (b *testCell) reportAll() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	for id, w := range b.fleet.workers {
		if t := b.leader.currentTerm(); t != nil && !w.silent {
			t.observeReport(&cellapi.Report{Register: cell.Register{ID: id, Born: w.born}, Sequence: uint64(time.Since(b.fleet.began)), ClockMS: w.clock()})
		}
	}
}

func (b *testCell) started(id string, index int) int {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.fleet.starts[fmt.Sprint(cell.TaskKey{StepKey: cell.StepKey{Job: id}, Index: index})]
}

// holder returns the worker that has attempts.
func (b *testCell) holder() string {
	holder := ""
	b.store.View(func(v *cell.View) {
		for id, w := range v.Workers() {
			if len(w.Attempts) > 0 {
				holder = id
			}
		}
	})
	return holder
}

// runningOf returns the attempts of a job that run on workers that answer, and since
// when.
func (b *testCell) runningOf(id string) map[attemptKey]time.Time {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	running := map[attemptKey]time.Time{}
	for _, w := range b.fleet.workers {
		for k, r := range w.running {
			if k.task.Job == id && !w.silent {
				running[k] = r.began
			}
		}
	}
	return running
}

package standin

import (
	"strings"
	"sync"
	"time"

	"laburnumgrade/internal/structs"
)

// Run is one run of a task or call on a target.
type Run struct {
	// ID is "job/task" for a task and the request id for a call. An instance of a
	// service has "@" and its data centre appended.
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
	Target  string `json:"target"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// Start and End are times since the records began, in ms; End is 0 while
	// the run goes on.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
	// Completed is false for a run that is in progress or was stopped.
	Completed bool `json:"completed"`
}

// Records holds the runs on all targets of a process.
type Records struct {
	mu    sync.Mutex
	began time.Time
	runs  []*Run
	// inProgress holds the number of runs in progress by id.
	inProgress map[string]int
	// usedByTarget and usedByTeam hold the declared sizes of running tasks.
	usedByTarget map[string]structs.Resources
	usedByTeam   map[string]structs.Resources
	summary      Summary
}

// Summary holds counts of violations, as seen by the targets, and peaks of usage.
type Summary struct {
	Runs int `json:"runs"`
	// Overlapping counts the starts of a task or call that was already running.
	Overlapping int `json:"overlapping"`
	// OverlappingIDs holds the ids of these runs.
	OverlappingIDs []string `json:"overlapping_ids"`
	// Overcommitted counts the task starts that exceeded the capacity of a worker.
	Overcommitted int `json:"overcommitted"`
	// Overfilled counts the calls that exceeded the slots of an instance.
	Overfilled int `json:"overfilled"`
	// TeamPeak is the largest total size of tasks that each team had running at once.
	TeamPeak map[string]structs.Resources `json:"team_peak"`
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		began: time.Now(), inProgress: map[string]int{}, usedByTarget: map[string]structs.Resources{},
		usedByTeam: map[string]structs.Resources{}, summary: Summary{TeamPeak: map[string]structs.Resources{}},
	}
}

// now returns the time since the records began in ms, at least 1 because 0 stands
// for a run in progress.
func (r *Records) now() int64 { return max(1, time.Since(r.began).Milliseconds()) }

// startTask records the start of a task on a worker.
func (r *Records) startTask(run Run, size, capacity structs.Resources) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := r.usedByTarget[run.Target].Add(size)
	r.usedByTarget[run.Target] = used
	if !used.Fits(capacity) {
		r.summary.Overcommitted++
	}
	team := r.usedByTeam[run.Team].Add(size)
	r.usedByTeam[run.Team] = team
	r.summary.TeamPeak[run.Team] = r.summary.TeamPeak[run.Team].Max(team)
	return r.start(run)
}

// startCall records the start of a call on an instance.
func (r *Records) startCall(run Run, inUse, slots int) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if inUse > slots {
		r.summary.Overfilled++
	}
	return r.start(run)
}

// start records the start of a run and counts it as overlapping if a run with the
// same id is in progress.
func (r *Records) start(run Run) *Run {
	run.Start = r.now()
	// An instance of a service may overlap with its replacement. Other tasks and
	// calls must not overlap.
	if r.inProgress[run.ID] > 0 && !strings.HasPrefix(run.ID, "service/") {
		r.summary.Overlapping++
		r.summary.OverlappingIDs = append(r.summary.OverlappingIDs, run.ID)
	}
	r.inProgress[run.ID]++
	r.summary.Runs++
	stored := &run
	r.runs = append(r.runs, stored)
	return stored
}

// endTask records the end of a task.
func (r *Records) endTask(run *Run, size structs.Resources, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedByTarget[run.Target] = r.usedByTarget[run.Target].Sub(size)
	r.usedByTeam[run.Team] = r.usedByTeam[run.Team].Sub(size)
	r.end(run, completed)
}

// endCall records the end of a call.
func (r *Records) endCall(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end(run, true)
}

func (r *Records) end(run *Run, completed bool) {
	run.End = r.now()
	run.Completed = completed
	r.inProgress[run.ID]--
}

// Report is a copy of the records, as served to the test programs.
type Report struct {
	// BeganUnixMs is the wall clock time at which the records began, which is time 0
	// of the runs.
	BeganUnixMs int64   `json:"began_unix_ms"`
	Summary     Summary `json:"summary"`
	Runs        []Run   `json:"runs"`
}

// Report returns a copy of the records.
func (r *Records) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{BeganUnixMs: r.began.UnixMilli(), Summary: r.summary, Runs: make([]Run, len(r.runs))}
	report.Summary.TeamPeak = map[string]structs.Resources{}
	for team, peak := range r.summary.TeamPeak {
		report.Summary.TeamPeak[team] = peak
	}
	for i, run := range r.runs {
		report.Runs[i] = *run
	}
	return report
}

package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/replica"
	"laburnumgrade/internal/structs"
)

// evacuation is the command that starts or stops the evacuation of a data centre.
func evacuation(dataCentre string, active bool) *cellapi.Call {
	return &cellapi.Call{Evacuate: &cell.Evacuate{DataCentre: dataCentre, Active: active}}
}

// placeWorkers registers workers, each in one of the data centres in turn.
func (b *testCell) placeWorkers(workers int, dataCentres ...string) {
	b.t.Helper()
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		b.fleet.add(id, 1)
		report := firstReport(id, 1, i)
		report.Report.DataCentre = dataCentres[i%len(dataCentres)]
		b.do(report)
	}
}

// countStarts counts the attempts that each worker starts from now on. The function that it
// returns reads the sum of some workers.
func (b *testCell) countStarts() (on func(ids ...string) int) {
	counts := map[string]int{}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.started = func(id string, _ *fakeWorker) { counts[id]++ }
	return func(ids ...string) int {
		b.fleet.mu.Lock()
		defer b.fleet.mu.Unlock()
		sum := 0
		for _, id := range ids {
			sum += counts[id]
		}
		return sum
	}
}

// Guards against tasks, gangs and daemons that start in an evacuated data centre, and against
// a data centre that gets no work after the end of its evacuation. The command is repeated.
func TestEvacuatedDataCentreGetsNoStarts(t *testing.T) {
	for name, step := range map[string]cell.Step{
		"tasks":  taskStep(12, 1),
		"gang":   {Count: 8, Gang: true, Size: structs.Resources{MilliCPU: 1000}, EstimateMS: 1000},
		"daemon": {Count: 8, Daemon: true, Size: structs.Resources{MilliCPU: 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			runCell(t, 0, func(b *testCell) {
				b.placeWorkers(4, "a", "b")
				startsOn := b.countStarts()
				if step.Daemon {
					b.fleet.change("w1", func(w *fakeWorker) { w.taskDuration = time.Hour })
					b.fleet.change("w3", func(w *fakeWorker) { w.taskDuration = time.Hour })
				}
				b.do(evacuation("a", true))
				b.do(evacuation("a", true))
				b.submit(jobID1, step)
				for range 40 {
					b.reportAll()
					time.Sleep(50 * time.Millisecond)
				}
				assert.Equal(t, startsOn("w0", "w2"), 0)
				assert.Equal(t, startsOn("w1", "w3"), step.Count)
				b.do(evacuation("a", false))
				b.do(evacuation("a", false))
				b.submit(jobID2, taskStep(16, 1))
				time.Sleep(500 * time.Millisecond)
				assert.Assert(t, startsOn("w0") > 0 && startsOn("w2") > 0)
			})
		})
	}
}

// inDataCentres moves the candidates of a planner to data centres in turn and sets those of
// the evacuated ones aside.
func (p *planner) inDataCentres(evacuated string, dataCentres ...string) {
	store := cell.NewStore(nil)
	if evacuated != "" {
		data, err := cell.Encode(&cell.Command{Evacuate: &cell.Evacuate{DataCentre: evacuated, Active: true}})
		if err != nil || store.Apply(1, data) != cell.Accepted {
			panic(fmt.Sprint("no evacuation: ", err))
		}
	}
	workers := []*cell.Worker{}
	for i, c := range p.candidates {
		c.worker.DataCentre = dataCentres[i%len(dataCentres)]
		workers = append(workers, c.worker)
	}
	store.View(func(v *cell.View) { workers = p.setAsideEvacuated(workers, v) })
	p.candidates = slices.DeleteFunc(p.candidates, func(c *candidate) bool { return !slices.Contains(workers, c.worker) })
	for id := range p.byID {
		if !slices.ContainsFunc(p.candidates, func(c *candidate) bool { return c.id == id }) {
			delete(p.byID, id)
		}
	}
}

// Guards against a step that waits without a sign that an evacuation is the cause, and against
// an evacuation that is named although the step lacks room elsewhere.
func TestWaitForEvacuationIsNamed(t *testing.T) {
	small, large := cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1000}}, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 80_000}}
	labelled := small
	labelled.Label = "r1"
	spread := small
	spread.Daemon, spread.Count, spread.MaxPerWorker = true, 3, 1
	denied := adviceAllowing(20 * time.Second)
	denied.queried["w01"], denied.queried["w03"] = true, true
	for name, c := range map[string]struct {
		evacuated string
		step      cell.Step
		advice    *stepAdvice
		full      bool
		want      waitReason
	}{
		"only evacuated workers have the label":             {"a", labelled, nil, false, waitsForEvacuation},
		"nothing is evacuated, none has the label":          {"", labelled, nil, true, waitsForRoom},
		"others are full":                                   {"a", small, nil, true, waitsForRoom},
		"others are full, the gang would fit there":         {"a", newGangStep(2, 30), nil, true, waitsForRoom},
		"the gang needs the evacuated workers":              {"a", newGangStep(8, 30), nil, false, waitsForEvacuation},
		"the gang fits nowhere":                             {"a", newGangStep(20, 30), nil, false, waitsForRoom},
		"the task fits nowhere":                             {"a", large, nil, false, waitsForRoom},
		"the workers elsewhere are not allowed":             {"a", small, denied, false, waitsForEvacuation},
		"a serving task for which there is no other worker": {"a", spread, nil, true, waitsForEvacuation},
	} {
		p := newPlanner(4, map[cell.StepKey]*stepAdvice{{Job: "j"}: c.advice})
		for i, candidate := range p.candidates {
			if candidate.worker.Labels = []string{"k"}; i%2 == 0 && c.evacuated != "" {
				candidate.worker.Labels = []string{"k", "r1"}
			}
			if c.full {
				candidate.free.MilliCPU = 0
			}
		}
		p.inDataCentres(c.evacuated, "a", "b")
		rs := p.newReadyStep("j", 1, c.step)
		if c.advice == nil {
			rs.queue.Advice = nil
		}
		p.planSteps([]*readyStep{rs})
		assert.Equal(t, rs.waitsFor, c.want, "%s: %v", name, rs.waitsFor)
	}
}

// Guards against a log that does not tell operators that steps wait for the end of an
// evacuation, and which commands were accepted.
func TestEvacuationsAreLogged(t *testing.T) {
	waits := &recordingHandler{Handler: slog.DiscardHandler, message: "step waits beyond its objective"}
	runCellWith(t, 0, func(c *Config) { c.Logger = slog.New(waits) }, func(b *testCell) {
		b.placeWorkers(2, "a")
		b.do(evacuation("a", true))
		b.submitTo(shortObjectivePath, jobID1, taskStep(1, 1))
		for range 100 {
			b.reportAll()
			time.Sleep(100 * time.Millisecond)
		}
		waits.mu.Lock()
		defer waits.mu.Unlock()
		assert.Equal(t, len(waits.records), 2)
		assert.Equal(t, waits.records[0]["reason"].String(), "evacuated")
	})
	commands := &recordingHandler{Handler: slog.DiscardHandler, message: "evacuation"}
	runCellWith(t, 0, func(c *Config) { c.Logger = slog.New(commands) }, func(b *testCell) {
		b.do(evacuation("a", true))
		assert.Equal(t, b.leader.Do(b.t.Context(), evacuation("", true)).Verdict, cell.Invalid)
		assert.Equal(t, len(commands.records), 2)
		assert.Equal(t, commands.records[0]["data_centre"].String()+" "+commands.records[0]["verdict"].String(), "a accepted")
		assert.Equal(t, commands.records[1]["verdict"].String(), "invalid")
	})
}

// Guards against a plan made before the commit of an evacuation that is carried out after it:
// placements there are not proposed, gangs start as a whole or not at all, and nothing is
// stopped for a gang that can't start.
func TestPlanIsCheckedAgainBeforeItsProposal(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		b.placeWorkers(4, "a", "b")
		b.submit(jobID1, taskStep(2, 1), cell.Step{Count: 2, Gang: true, Size: structs.Resources{MilliCPU: 1000}})
		b.do(evacuation("a", true))
		place := func(step, index int, worker string) cell.Placement {
			return cell.Placement{Task: cell.TaskKey{StepKey: cell.StepKey{Job: jobID1, Step: step}, Index: index}, Run: 9, Worker: worker, Born: 1}
		}
		other, blocked := cell.StepKey{Job: "other"}, cell.StepKey{Job: "blocked"}
		p := &planner{plan: plan{
			placements: []cell.Placement{place(0, 0, "w0"), place(0, 1, "w1"), place(1, 0, "w1"), place(1, 1, "w2")},
			reserved:   map[string]cell.StepKey{"w0": blocked, "w1": blocked, "w3": other},
			stops:      []victim{{worker: "w1"}, {worker: "w3"}},
			adviceRequests: []*adviceRequest{
				{heldPlacements: []cell.Placement{place(1, 0, "w1"), place(1, 1, "w2")}, stops: []victim{{worker: "w1"}}},
				{heldPlacements: []cell.Placement{place(1, 0, "w1"), place(1, 1, "w3")}, stops: []victim{{worker: "w1"}}},
			},
		}}
		b.leader.currentTerm().dropEvacuated(p)
		assert.DeepEqual(t, p.placements, []cell.Placement{place(0, 1, "w1")})
		assert.Equal(t, len(p.stops), 1)
		assert.Equal(t, p.stops[0].worker, "w3")
		assert.Equal(t, len(p.adviceRequests[0].stops), 0)
		assert.Equal(t, len(p.adviceRequests[1].stops), 1)
	})
}

// Guards against workers of an evacuated data centre that later slices of a long plan use.
func TestLaterSlicesUseNoEvacuatedWorkers(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		b.placeWorkers(2, "a", "b")
		b.submit(jobID1, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1 << 30}})
		time.Sleep(100 * time.Millisecond)
		b.reportAll()
		// Another term with the same sessions: the planner of this one goes on.
		current := b.leader.currentTerm()
		term := newTerm(t.Context(), b.leader, current.number, current.began)
		current.mu.Lock()
		term.sessions = maps.Clone(current.sessions)
		current.mu.Unlock()
		p := &planner{now: b.leader.Clock.Now(), byID: map[string]*candidate{}, headroom: map[string]structs.Resources{}}
		_, workers := term.copyInputs(p)
		term.addCandidates(workers, p)
		assert.Equal(t, len(p.candidates), 2)
		b.do(evacuation("a", true))
		term.withholdUnusable(p)
		assert.Assert(t, p.byID["w0"].withheld && !p.byID["w1"].withheld)
	})
}

// Guards against a placement in an evacuated data centre that is proposed, and against an
// order for one that was committed: its attempt ends as never started.
func TestStartIsCheckedBeforeProposalAndOrder(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		runCell(t, 0, func(b *testCell) {
			b.placeWorkers(1, "a")
			time.Sleep(200 * time.Millisecond)
			b.reportAll()
			startsOn := b.countStarts()
			term := b.leader.currentTerm()
			placement := cell.Placement{Task: cell.TaskKey{StepKey: cell.StepKey{Job: jobID1}}, Run: 1, Worker: "w0", Born: 1}
			// The planner has no part in it: the worker is cordoned.
			term.cordon([]string{"w0"})
			b.submit(jobID1, cell.Step{Count: 1, Size: structs.Resources{MilliCPU: 1000}, EstimateMS: 1000})
			b.do(evacuation("a", evacuated))
			_, before := b.log.Term()
			p := &planner{plan: plan{placements: []cell.Placement{placement}}}
			assert.Assert(t, term.carryOut(p, newProcessorUse(b.leader.Clock)))
			_, after := b.log.Term()
			want := 1
			if evacuated {
				want = 0
			}
			assert.Equal(t, int(after-before), want, "commits")
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, startsOn("w0"), want)
			if !evacuated {
				return
			}
			result, err := b.leader.propose(b.t.Context(), &cell.Command{Start: &cell.Start{Placements: []cell.Placement{placement}}})
			assert.NilError(t, err)
			assert.DeepEqual(t, result, []bool{true})
			term.startAttempt(&placement)
			time.Sleep(time.Second)
			assert.Equal(t, startsOn("w0"), 0)
			b.store.View(func(v *cell.View) { assert.Equal(t, len(v.Worker("w0").Attempts), 0) })
			term.cordon(nil)
			b.do(evacuation("a", false))
			b.waitForState(jobID1, cell.Complete, 2*time.Second)
		})
	}
}

// evacuationLog commits evacuations and fails afterwards with err, until healed is set.
type evacuationLog struct {
	*fakeLog
	err    error
	healed bool
}

func (l *evacuationLog) Propose(ctx context.Context, command []byte) (any, error) {
	var c cell.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil, err
	}
	result, err := l.fakeLog.Propose(ctx, command)
	if c.Evacuate != nil && !l.healed {
		return nil, l.err
	}
	return result, err
}

// Guards against a command that gets a definite refusal although the leader, which ended
// between the commit and the response, has committed it, and against one that is not in effect
// at the next leader or that cannot be acknowledged there.
func TestEvacuationCommittedByLostLeader(t *testing.T) {
	var log *evacuationLog
	runCellWith(t, 0, func(c *Config) {
		log = &evacuationLog{fakeLog: c.Log.(*fakeLog), err: &replica.OutcomeUnknownError{Group: "cell", Err: errors.New("leadership lost")}}
		c.Log = log
	}, func(b *testCell) {
		b.placeWorkers(2, "a", "b")
		startsOn := b.countStarts()
		r := b.leader.Do(b.t.Context(), evacuation("a", true))
		assert.Assert(t, r.Unknown != "" && r.Refused == "" && !r.NotLeader, "%+v", r)
		b.log.setTerm(0)
		log.healed = true
		assert.Assert(t, b.leader.Do(b.t.Context(), evacuation("a", true)).NotLeader)
		b.changeLeader(2)
		b.submit(jobID1, taskStep(4, 1))
		b.do(evacuation("a", true))
		b.waitForState(jobID1, cell.Complete, 3*time.Second)
		assert.Equal(t, startsOn("w0"), 0)
	})
}

// Guards against a command that cannot be sent through another process after the one that
// received it was killed, also while its commit is in progress, and against two evacuations of
// which one remains.
func TestEvacuationIsRepeatedThroughAnotherProcess(t *testing.T) {
	var log *slowLog
	runCellWith(t, 0, func(c *Config) {
		log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: time.Millisecond}
		c.Log = log
	}, func(b *testCell) {
		for _, active := range []bool{true, false} {
			log.pause(300 * time.Millisecond)
			killed, kill := context.WithTimeout(b.t.Context(), 100*time.Millisecond)
			r := b.leader.Do(killed, evacuation("a", active))
			kill()
			assert.Assert(t, r.Unknown != "" && r.Refused == "", "%+v", r)
			b.do(evacuation("a", active))
			b.store.View(func(v *cell.View) { assert.Equal(t, v.IsEvacuated("a"), active) })
		}
	})
}

// Guards against an acknowledgement by a process that the majority does not follow, and against
// a refusal there of a command that the majority has accepted.
func TestEvacuationDuringPartition(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		b.log.setLeaseLost(true)
		r := b.leader.Do(b.t.Context(), evacuation("a", true))
		assert.Assert(t, r.NotLeader && r.Verdict == 0, "%+v", r)
		b.store.View(func(v *cell.View) { assert.Equal(t, len(v.Evacuated()), 0) })
		b.log.setLeaseLost(false)
		b.changeLeader(2)
		b.do(evacuation("a", true))
		b.store.View(func(v *cell.View) { assert.Assert(t, v.IsEvacuated("a")) })
	})
}

// Guards against a start order that was sent before the evacuation, is carried out late and
// starts a task.
func TestLateStartAfterEvacuationIsRefused(t *testing.T) {
	for _, delay := range []time.Duration{2 * time.Second, 6 * time.Second, 12 * time.Second} {
		runCell(t, 0, func(b *testCell) {
			b.placeWorkers(2, "a", "b")
			startsOn := b.countStarts()
			b.fleet.change("w0", func(w *fakeWorker) { w.startDelay = delay })
			b.fleet.change("w1", func(w *fakeWorker) { w.taskDuration = 300 * time.Millisecond })
			b.submit(jobID1, taskStep(8, 1))
			time.Sleep(200 * time.Millisecond)
			attempts := 0
			b.store.View(func(v *cell.View) { attempts = len(v.Worker("w0").Attempts) })
			assert.Assert(t, attempts > 0, "no order is on its way")
			b.do(evacuation("a", true))
			b.waitForState(jobID1, cell.Complete, 8*time.Second)
			time.Sleep(delay)
			assert.Equal(t, startsOn("w0"), 0)
		})
	}
}

// Guards against a call that a leader of an earlier release, which does not know it, takes for
// another one, accepts or rejects for good.
func TestEarlierReleaseRefusesEvacuation(t *testing.T) {
	runCell(t, 0, func(b *testCell) {
		data, err := cbor.Marshal(evacuation("a", true))
		assert.NilError(t, err)
		var fields map[int]cbor.RawMessage
		assert.NilError(t, cbor.Unmarshal(data, &fields))
		assert.Equal(t, len(fields), 1)
		delete(fields, 12) // not known there
		data, err = cbor.Marshal(fields)
		assert.NilError(t, err)
		var call cellapi.Call
		assert.NilError(t, cbor.Unmarshal(data, &call))
		r := b.leader.Do(b.t.Context(), &call)
		assert.Assert(t, r.Refused != "" && r.Verdict == 0, "%+v", r)
	})
}

// Guards against a repeated start that is answered with the commit of one before a stop, so
// that the stop, which was sent earlier, remains in force after the acknowledgement.
func TestRepeatedStartIsNotOvertakenByEarlierStop(t *testing.T) {
	var log *slowLog
	runCellWith(t, 0, func(c *Config) {
		log = &slowLog{fakeLog: c.Log.(*fakeLog), entryTime: 50 * time.Millisecond}
		c.Log = log
	}, func(b *testCell) {
		abandon := func(active bool) {
			ctx, cancel := context.WithTimeout(b.t.Context(), 100*time.Millisecond)
			defer cancel()
			b.leader.Do(ctx, evacuation("a", active))
		}
		log.pause(time.Second)
		abandon(true)
		abandon(false)
		b.do(evacuation("a", true))
		time.Sleep(3 * time.Second)
		b.store.View(func(v *cell.View) { assert.Assert(t, v.IsEvacuated("a")) })
	})
}

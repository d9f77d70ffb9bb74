package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/structs"
)

// requestSimulation models entries that make the same few requests, with a real
// Store that keeps the records. Each call is split into steps that are run one by
// one. A step may never be run, as if the entry had crashed.
type requestSimulation struct {
	*fixture
	t         *rapid.T
	callCount int
	clock     int64
	steps     []func()
	runs      map[string]int
	history   []porcupine.Operation
}

// requestAnswer is what an entry answers to its caller.
type requestAnswer struct {
	outcome structs.Outcome
	body    string
}

// propose applies the command at once, later or never, and calls next with its
// result, or with nil if the proposer does not receive the outcome.
func (w *requestSimulation) propose(apply func() *Result, next func(known *Result)) {
	switch rapid.IntRange(0, 9).Draw(w.t, "fate") {
	case 0:
		next(nil)
	case 1:
		apply()
		next(nil)
	case 2:
		w.later(func() { apply() })
		next(nil)
	case 3:
		apply() // the transport repeats the proposal after a lost reply
		next(apply())
	default:
		next(apply())
	}
}

// later adds a step that is run at some later time, or never.
func (w *requestSimulation) later(step func()) { w.steps = append(w.steps, step) }

// call starts a request with the id at a new owner.
func (w *requestSimulation) call(id string) {
	w.callCount++
	owner := fmt.Sprintf("entry-%d", w.callCount)
	operation := porcupine.Operation{ClientId: w.callCount, Input: id, Call: w.tick()}
	done := false
	answer := func(outcome structs.Outcome, body string) {
		if !done {
			done = true
			operation.Output, operation.Return = requestAnswer{outcome, body}, w.tick()
			w.history = append(w.history, operation)
		}
	}
	end := func(outcome structs.Outcome, body string) {
		w.propose(func() *Result {
			return w.do(&statev1.EndRequest{RequestId: id, Owner: owner, Outcome: apiv1.Outcome(outcome), Body: []byte(body)})
		}, func(*Result) {})
	}
	record := func() *Result {
		return w.do(&statev1.RecordRequest{RequestId: id, Team: "a", Service: "s", Digest: 1, Owner: owner, DeadlineMs: 1000})
	}
	w.later(func() {
		w.propose(record, func(known *Result) { w.later(func() { w.proceed(id, known, answer, end) }) })
	})
}

// tick returns the next time stamp of the operations in the history.
func (w *requestSimulation) tick() int64 { w.clock++; return w.clock }

// proceed models what an entry does with the result of recording its request.
func (w *requestSimulation) proceed(id string, known *Result, answer, end func(structs.Outcome, string)) {
	switch {
	case known == nil:
		answer(structs.OutcomeUnknown, "")
		end(structs.OutcomeNotRun, "")
	case known.Refusal != "":
		answer(structs.OutcomeUnknown, "")
	case known.Granted && rapid.IntRange(0, 2).Draw(w.t, "no instance") == 0:
		answer(structs.OutcomeNotRun, "")
		end(structs.OutcomeNotRun, "")
	case known.Granted:
		w.later(func() { w.send(id, answer, end) })
	case known.Request.Outcome == structs.OutcomeNone:
		answer(structs.OutcomeUnknown, "")
	default:
		answer(known.Request.Outcome, string(known.Request.Body))
	}
}

// send runs the request at a target, whose answer may arrive after the entry has
// already answered "outcome unknown".
func (w *requestSimulation) send(id string, answer, end func(structs.Outcome, string)) {
	w.runs[id]++
	body := fmt.Sprintf("run %d", w.runs[id])
	if rapid.Bool().Draw(w.t, "late answer") {
		w.later(func() { answer(structs.OutcomeUnknown, ""); end(structs.OutcomeUnknown, "") })
		w.later(func() { end(structs.OutcomeOK, body) })
		return
	}
	w.later(func() { answer(structs.OutcomeOK, body); end(structs.OutcomeOK, body) })
}

// requestModel is the specification of one request id: the request runs at most
// once, "not run" is answered only if it has not run, and every other answer is that
// of its single run.
var requestModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, o := range history {
			byID[o.Input.(string)] = append(byID[o.Input.(string)], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "not run" },
	Step: func(state, _, output any) (bool, any) {
		a := output.(requestAnswer)
		switch {
		case a.outcome == structs.OutcomeUnknown && state == "not run":
			return true, "may have run"
		case a.outcome == structs.OutcomeUnknown:
			return true, state
		case a.outcome == structs.OutcomeNotRun:
			return state == "not run" || state == "may have run", "not run"
		}
		return state == "not run" || state == "may have run" || state == a.body, a.body
	},
}

// Guards against a second run of a non-idempotent request, a wrong "not run" and the
// answer of another run. In the histories entries crash, answers are late, proposals
// have unknown outcomes, callers resend, and records expire and are removed.
func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &requestSimulation{fixture: newFixture(t, nil), t: t, runs: map[string]int{}}
		step := func(t *rapid.T) {
			if len(w.steps) == 0 {
				t.Skip("nothing is under way")
			}
			i := rapid.IntRange(0, len(w.steps)-1).Draw(t, "step")
			s := w.steps[i]
			w.steps = append(w.steps[:i:i], w.steps[i+1:]...)
			s()
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for id, n := range w.runs {
					if n > 1 {
						t.Fatalf("request %s ran %d times", id, n)
					}
				}
			},
			"call":  func(t *rapid.T) { w.call(testID(rapid.IntRange(1, 2).Draw(t, "id"))) },
			"step":  step,
			"step2": step,
			"step3": step,
			"time": func(t *rapid.T) {
				passed := rapid.SampledFrom([]time.Duration{time.Second, 7 * time.Second, time.Minute, 23 * time.Hour, 25 * time.Hour}).Draw(t, "passed")
				w.do(&statev1.AdvanceTime{UnixMs: w.store.LogTime() + passed.Milliseconds()})
			},
		})
		if porcupine.CheckOperations(requestModel, w.history) {
			return
		}
		t.Fatalf("the answers must be explained by one run: %+v", w.history)
	})
}

// Guards against giving one team the answer of another team's request, accepting two
// spellings of one id, and removing a record while its id is still accepted.
func TestRequestIDRefusals(t *testing.T) {
	f := newFixture(t, nil)
	record := func(id, team string) *Result {
		return f.do(&statev1.RecordRequest{RequestId: id, Team: team, Service: "s", Digest: 1, Owner: "o", DeadlineMs: 1000})
	}
	id := "00000000-0000-7000-8000-00000000000a"
	assert.Assert(t, record(id, "a").Granted)
	assert.Assert(t, record(id, "b").Refusal != "")
	assert.Assert(t, record("00000000-0000-7000-8000-00000000000A", "a").Refusal != "")
	assert.Assert(t, record(id+"x", "a").Refusal != "")
	f.do(&statev1.AdvanceTime{UnixMs: IDRetention.Milliseconds()})
	assert.Assert(t, record(id, "a").Duplicate)
	f.do(&statev1.AdvanceTime{UnixMs: IDRetention.Milliseconds() + 1})
	assert.Equal(t, record(id, "a").Refusal, RefusalIDExpired)
	assert.Equal(t, len(f.store.data.Requests), 0)
}

// Guards against granting a request whose record is committed after its owner has
// already answered "not run": the owner would not send it, and it would stay pending.
func TestWithdrawnRecordIsNotGranted(t *testing.T) {
	f := newFixture(t, nil)
	f.do(&statev1.EndRequest{RequestId: f.job, Owner: "o", Outcome: apiv1.Outcome_OUTCOME_NOT_RUN})
	r := f.do(&statev1.RecordRequest{RequestId: f.job, Team: "a", Service: "s", Digest: 1, Owner: "o"})
	assert.Assert(t, !r.Granted)
	r = f.do(&statev1.RecordRequest{RequestId: f.job, Team: "a", Service: "s", Digest: 1, Owner: "p"})
	assert.Assert(t, r.Granted)
}

package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"laburnumgrade/gen/apiv1/apiv1connect"
)

const (
	// rounds is how often all entries are tried.
	rounds = 2
	// roundPause is the wait before the second round.
	roundPause = 200 * time.Millisecond
)

// exchange is how a request is sent.
type exchange struct {
	// keyVariable is the environment variable of the key.
	keyVariable string
	// changes is set if the request changes something. It carries an id, so
	// that sending it again is harmless.
	changes bool
	// id is that id.
	id string
	// extra is added to the longest wait for an answer.
	extra time.Duration
}

// operator returns the exchange of an operator's question.
func operator() exchange { return exchange{keyVariable: envOperatorKey} }

// operatorChange returns the exchange of an operator's change.
func operatorChange(id string) exchange {
	return exchange{keyVariable: envOperatorKey, changes: true, id: id}
}

// team returns the exchange of a team's question.
func team() exchange { return exchange{keyVariable: envTeamKey} }

// teamChange returns the exchange of a team's work.
func teamChange(id string) exchange {
	return exchange{keyVariable: envTeamKey, changes: true, id: id}
}

// client makes a client of one of the two services.
type client[C any] func(connect.HTTPClient, string, ...connect.ClientOption) C

// method is a method of a service's client.
type method[C, Q, A any] func(C, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// askCaller sends a request to the callers' service.
func askCaller[Q, A any](a *app, e exchange, m method[apiv1connect.CallerServiceClient, Q, A], question *Q) (*A, *report) {
	return ask(a, e, apiv1connect.NewCallerServiceClient, m, question)
}

// askOperator sends a request to the operators' service.
func askOperator[Q, A any](a *app, e exchange, m method[apiv1connect.OperatorServiceClient, Q, A], question *Q) (*A, *report) {
	return ask(a, e, apiv1connect.NewOperatorServiceClient, m, question)
}

// ask sends a request to the entries in turn until one answers. Every try
// sends the same message with the same id.
func ask[C, Q, A any](a *app, e exchange, c client[C], m method[C, Q, A], question *Q) (*A, *report) {
	entries, problem := a.entries()
	if problem != nil {
		return nil, problem
	}
	key, problem := a.key(e.keyVariable)
	if problem != nil {
		return nil, problem
	}
	var tries tries
	for round := range rounds {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, entry := range entries {
			request := connect.NewRequest(question)
			if !key.IsZero() {
				request.Header().Set("Authorization", "Bearer "+key.Reveal())
			}
			answer, err := try(a, e, c(a.http, "http://"+entry), m, request)
			if err == nil {
				return answer, nil
			}
			if tries.add(entry, err, e.changes); !another(err) {
				return nil, tries.report(e)
			}
		}
	}
	return nil, tries.report(e)
}

// try sends the request to one entry.
func try[C, Q, A any](a *app, e exchange, c C, m method[C, Q, A], request *connect.Request[Q]) (*A, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+e.extra)
	defer cancel()
	response, err := m(c, ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// another reports whether another entry may do better: this one gave no answer,
// or is not available.
func another(err error) bool {
	return !connect.IsWireError(err) || connect.CodeOf(err) == connect.CodeUnavailable
}

// tries collects what the tries of one request showed.
type tries struct {
	entry string
	err   error
	exit  ExitCode
	// uncertain is set once a try may have had effect without an answer.
	uncertain bool
	// answered is set once an entry has given an error answer.
	answered bool
}

// add records a failed try. An error answer replaces a lost one as what is
// reported, because it says more.
func (t *tries) add(entry string, err error, changes bool) {
	exit := errorExit(err, changes)
	t.uncertain = t.uncertain || exit == ExitOutcomeUnknown
	wire := connect.IsWireError(err)
	if t.answered && !wire {
		return
	}
	t.answered = t.answered || wire
	t.entry, t.err, t.exit = entry, err, exit
}

// report returns the report of a request that no entry answered with success.
// After a try that may have had effect, even a refusal by another entry does
// not show that nothing has run.
func (t *tries) report(e exchange) *report {
	r := &report{Exit: t.exit, ID: e.id, Message: fmt.Sprintf("entry %s: %s", t.entry, text(t.err))}
	if t.uncertain && t.exit != ExitOutcomeUnknown {
		r.Exit = ExitOutcomeUnknown
		r.Message = "outcome unknown: an earlier answer was lost; then " + r.Message
	}
	r.Next = advice(r.Exit, t.err, e)
	return r
}

// text returns the message of an error without connect's code.
func text(err error) string {
	var failure *connect.Error
	if errors.As(err, &failure) && connect.IsWireError(err) {
		return failure.Message()
	}
	return err.Error()
}

// advice says what to do after an error.
func advice(exit ExitCode, err error, e exchange) string {
	switch exit {
	case ExitOutcomeUnknown:
		if e.id != "" {
			return "run the same command with the same id, " + e.id + "; it never runs twice"
		}
		return "run the same command again"
	case ExitUnreachable:
		return "check the entry addresses and the network, then run the same command again; give several --entry"
	case ExitUsage:
		return "correct the input"
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return "check the key: set " + e.keyVariable + " or give --key-file; a withdrawn key must be replaced by lgctl key grant"
	case connect.CodeAborted:
		return "another change came first: get the current version with lgctl doc get, merge, and put with its --replaces"
	case connect.CodeResourceExhausted:
		return "the queue or limit is full: wait for work to end, or raise it in the document"
	case connect.CodeNotFound:
		return "check the id or name"
	case connect.CodeUnavailable:
		return "try again later or at another entry"
	}
	return ""
}

package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/port"
)

const (
	// maxRounds is how often all entries are tried.
	maxRounds = 2
	// roundPause is the wait between two rounds.
	roundPause = 200 * time.Millisecond
)

// requestOptions describes how a request is sent.
type requestOptions struct {
	// keyVariable is the environment variable that holds the key.
	keyVariable string
	// isChange is set if the request changes something.
	isChange bool
	// id is the id that a change carries, so that sending it again has no further
	// effect; empty if the request carries none.
	id string
	// extraTimeout is added to the timeout of each try, for requests that the
	// entry holds until something happens.
	extraTimeout time.Duration
	// beforeResend, if not nil, is called before each try that follows one which may have
	// had an effect.
	beforeResend func()
}

// operatorRead returns the options of an operator's request that changes nothing.
func operatorRead() requestOptions { return requestOptions{keyVariable: envOperatorKey} }

// operatorChange returns the options of an operator's change.
func operatorChange(id string) requestOptions {
	return requestOptions{keyVariable: envOperatorKey, isChange: true, id: id}
}

// teamRead returns the options of a team's request that changes nothing.
func teamRead() requestOptions { return requestOptions{keyVariable: envTeamKey} }

// teamChange returns the options of a team's job, call or cancellation.
func teamChange(id string) requestOptions {
	return requestOptions{keyVariable: envTeamKey, isChange: true, id: id}
}

// newClient constructs a client of one of the two services.
type newClient[C any] func(connect.HTTPClient, string, ...connect.ClientOption) C

// method is a method of a service's client.
type method[C, Q, A any] func(C, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// sendToCallerService sends a request to CallerService.
func sendToCallerService[Q, A any](a *app, options requestOptions, call method[apiv1connect.CallerServiceClient, Q, A], message *Q) (*A, *report) {
	return send(a, options, apiv1connect.NewCallerServiceClient, call, message)
}

// sendToOperatorService sends a request to OperatorService.
func sendToOperatorService[Q, A any](a *app, options requestOptions, call method[apiv1connect.OperatorServiceClient, Q, A], message *Q) (*A, *report) {
	return send(a, options, apiv1connect.NewOperatorServiceClient, call, message)
}

// send sends a request to the entries in turn until one of them answers with a
// result or with an error that another entry would give as well. Every try sends
// the same message with the same id, except for what options.beforeResend changes.
func send[C, Q, A any](a *app, options requestOptions, construct newClient[C], call method[C, Q, A], message *Q) (*A, *report) {
	entries, problem := a.entries()
	if problem != nil {
		return nil, problem
	}
	key, problem := a.key(options.keyVariable)
	if problem != nil {
		return nil, problem
	}
	var failures failedTries
	for round := range maxRounds {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, entry := range entries {
			if failures.mayHaveRun && options.beforeResend != nil {
				options.beforeResend()
			}
			request := connect.NewRequest(message)
			if !key.IsZero() {
				request.Header().Set("Authorization", "Bearer "+key.Reveal())
			}
			answer, sent, err := try(a, options, construct(a.http, "http://"+entry), call, request)
			if err == nil {
				return answer, nil
			}
			if failures.add(entry, err, sent, options.isChange); !mayRetryElsewhere(err) {
				return nil, failures.report(options)
			}
		}
	}
	return nil, failures.report(options)
}

// try sends the request to one entry. With an error, sent is set if a part of the
// request may have been sent.
func try[C, Q, A any](a *app, options requestOptions, client C, call method[C, Q, A], request *connect.Request[Q]) (answer *A, sent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+options.extraTimeout)
	defer cancel()
	ctx, mayBeSent := port.TraceSent(ctx)
	response, err := call(client, ctx, request)
	if err != nil {
		return nil, mayBeSent(), err
	}
	return response.Msg, true, nil
}

// mayRetryElsewhere reports whether another entry may answer with a result: this
// one gave no answer or is unavailable.
func mayRetryElsewhere(err error) bool {
	return !connect.IsWireError(err) || connect.CodeOf(err) == connect.CodeUnavailable
}

// failedTries summarizes the failed tries of one request.
type failedTries struct {
	// entry, err and exit describe the failure to report.
	entry string
	err   error
	exit  ExitCode
	// mayHaveRun is set once a try may have had an effect.
	mayHaveRun bool
	// answered is set once an entry has answered with an error.
	answered bool
}

// add records a failed try. An error that an entry has answered takes precedence
// over a connection failure in the report, because it is more specific.
func (t *failedTries) add(entry string, err error, sent, isChange bool) {
	exit := errorExit(err, sent, isChange)
	t.mayHaveRun = t.mayHaveRun || exit == ExitOutcomeUnknown
	isAnswer := connect.IsWireError(err)
	if t.answered && !isAnswer {
		return
	}
	t.answered = t.answered || isAnswer
	t.entry, t.err, t.exit = entry, err, exit
}

// report returns the report of a request for which every try failed. If one try
// may have had an effect, the outcome is unknown even if another entry refused the
// request.
func (t *failedTries) report(options requestOptions) *report {
	r := &report{Exit: t.exit, ID: options.id, Message: fmt.Sprintf("entry %s: %s", t.entry, errorMessage(t.err))}
	if t.mayHaveRun && t.exit != ExitOutcomeUnknown {
		r.Exit = ExitOutcomeUnknown
		r.Message = "outcome unknown: an earlier answer was lost; then " + r.Message
	}
	r.Next = nextStep(r.Exit, t.err, options)
	return r
}

// errorMessage returns the message of an error, without the code that connect
// prepends.
func errorMessage(err error) string {
	var connectError *connect.Error
	if errors.As(err, &connectError) && connect.IsWireError(err) {
		return connectError.Message()
	}
	return err.Error()
}

// nextStep returns what the user can do after an error, empty if there is no
// general recommendation.
func nextStep(exit ExitCode, err error, options requestOptions) string {
	switch exit {
	case ExitOutcomeUnknown:
		if options.id != "" {
			return "run the same command with the same id, " + options.id + "; it never runs twice"
		}
		return "run the same command again"
	case ExitUnreachable:
		return "check the entry addresses and the network, then run the same command again; give several --entry"
	case ExitUsage:
		return "correct the input"
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return "check the key: set " + options.keyVariable + " or give --key-file; a withdrawn key must be replaced by lgctl key grant"
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

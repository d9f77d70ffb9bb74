package ctl

import (
	"fmt"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

// callVerb is the verb call.
type callVerb struct {
	app       *app
	Body      string        `long:"body" value-name:"FILE" description:"file with the request's body, - for the standard input"`
	Deadline  time.Duration `long:"deadline" value-name:"TIME" default:"10s" description:"time budget of the call"`
	RequestID string        `long:"request-id" value-name:"UUIDv7" description:"id of the request, to resend one whose answer was lost (default: a new one)"`
	Arguments struct {
		Team    string `positional-arg-name:"TEAM"`
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *callVerb) Execute(rest []string) error { return v.app.run(rest, v.call) }

// call sends one request and prints the body of its answer.
func (v *callVerb) call() *report {
	id, problem := checkID("--request-id", v.RequestID)
	if problem != nil {
		return problem
	}
	if v.Deadline < time.Millisecond {
		return usage(fmt.Sprintf("--deadline: found %v, allowed 1ms or more", v.Deadline), "")
	}
	body, problem := v.app.input(v.Body)
	if problem != nil {
		return problem
	}
	request := &apiv1.CallRequest{
		RequestId: id, Team: v.Arguments.Team, Service: v.Arguments.Service, Body: body, DeadlineMs: v.Deadline.Milliseconds(),
		Resend: v.RequestID != "", // an earlier command may have sent it
	}
	options := teamChange(id)
	options.extraTimeout = v.Deadline
	options.beforeResend = func() { request.Resend = true }
	answer, problem := sendToCallerService(v.app, options, apiv1connect.CallerServiceClient.Call, request)
	if problem != nil {
		return problem
	}
	return callReport(request, answer)
}

// callReport returns the report of an answer to a call. That a resend has not run does not
// prove that an earlier try has not.
func callReport(request *apiv1.CallRequest, answer *apiv1.CallResponse) *report {
	id := request.GetRequestId()
	if answer.GetRequestId() != id {
		return &report{
			Exit: ExitOutcomeUnknown, ID: id, Message: "outcome unknown: the answer belongs to request " + answer.GetRequestId(),
			Next: "run the same command with --request-id " + id,
		}
	}
	r := &report{Exit: outcomeExit(answer.GetOutcome()), ID: id, Answer: answer}
	detail := answer.GetDetail()
	if r.Exit == ExitNotRun && request.GetResend() {
		r.Exit = ExitOutcomeUnknown
		detail = "an earlier try may have run; this one was refused: " + detail
	}
	switch r.Exit {
	case ExitOK:
		r.Text = answer.GetBody()
	case ExitNotRun:
		r.Message, r.Next = "not run: "+detail, "run the same command again later"
	case ExitFailed:
		r.Message = "failed: " + detail
	default:
		r.Message = prefixUnknown + ": " + detail
		r.Next = "run the same command with --request-id " + id + " to retrieve a late answer; the request never runs twice"
	}
	return r
}

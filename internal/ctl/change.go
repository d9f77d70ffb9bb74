package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

const (
	// changePollInterval is the interval at which the state of a change or job is
	// requested.
	changePollInterval = 200 * time.Millisecond
	// maxOperationIDBytes is the longest operation id that the user may give.
	maxOperationIDBytes = 64
)

// operationOptions are the options of verbs that change the configuration.
type operationOptions struct {
	Wait        time.Duration `long:"wait" value-name:"TIME" default:"5s" description:"longest wait until the change is in force everywhere"`
	OperationID string        `long:"operation-id" value-name:"ID" description:"id of the operation, to resend one whose answer was lost (default: a new UUIDv7)"`
}

// id returns the given operation id, or a new one if none is given.
func (o *operationOptions) id() (string, *report) {
	if len(o.OperationID) > maxOperationIDBytes || strings.ContainsAny(o.OperationID, " \t\r\n") {
		return "", usage(fmt.Sprintf("--operation-id: found %q, allowed at most %d characters without spaces", o.OperationID, maxOperationIDBytes), "")
	}
	if o.OperationID != "" {
		return o.OperationID, nil
	}
	return newID(), nil
}

// newID returns a new UUIDv7.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// checkID returns the given id if it is a UUIDv7, or a new one if none is given.
func checkID(option, given string) (string, *report) {
	if given == "" {
		return newID(), nil
	}
	id, err := uuid.Parse(given)
	if err != nil || id.Version() != 7 || len(given) != 36 {
		return "", usage(fmt.Sprintf("%s: found %q, allowed a UUIDv7 such as 01939b7c-5f00-7000-8000-000000000001", option, given), "leave the option out to get a new id")
	}
	return id.String(), nil
}

// waitUntilInForce waits until an accepted change is in force everywhere, at most
// for options.Wait, and returns the report. subject names the change in messages;
// answer returns the answer to print, given the last known state of the change.
func (a *app) waitUntilInForce(options operationOptions, operation, subject string, change *apiv1.Change, answer func(*apiv1.Change) any) *report {
	change, problem := a.pollChange(change, options.Wait)
	r := &report{Exit: ExitOK, ID: operation, Answer: answer(change)}
	if change.GetInForce() {
		r.Message = fmt.Sprintf("%s is in force everywhere (change %d)", subject, change.GetIndex())
		return r
	}
	r.Exit = ExitWaiting
	r.Message = fmt.Sprintf("%s is accepted as change %d and not yet in force in: %s", subject, change.GetIndex(), outstandingDataCentres(change))
	r.Next = "the change takes effect there when contact returns or the configuration lease expires; " +
		"run the same command with --operation-id " + operation + " to wait again"
	if problem != nil {
		r.Message += "; its state could not be read: " + problem.Message
	}
	return r
}

// pollChange requests the state of a change until it is in force or the wait is
// over. It returns the last known state, with the problem of the last request if
// that failed.
func (a *app) pollChange(change *apiv1.Change, wait time.Duration) (*apiv1.Change, *report) {
	var problem *report
	for end := time.Now().Add(wait); !change.GetInForce() && time.Now().Before(end); {
		time.Sleep(min(changePollInterval, time.Until(end)))
		request := &apiv1.GetChangeRequest{Index: change.GetIndex()}
		var answer *apiv1.ChangeResponse
		answer, problem = sendToOperatorService(a, operatorRead(), apiv1connect.OperatorServiceClient.GetChange, request)
		if problem == nil {
			change = answer.GetChange()
		}
	}
	return change, problem
}

// outstandingDataCentres returns the data centres where a change is not yet in
// force.
func outstandingDataCentres(change *apiv1.Change) string {
	if len(change.GetOutstanding()) == 0 {
		return "(not known yet)"
	}
	return strings.Join(change.GetOutstanding(), ", ")
}

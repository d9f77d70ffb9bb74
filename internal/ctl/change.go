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
	// changePoll is how often the state of a change is asked for.
	changePoll = 200 * time.Millisecond
	// maxIDBytes bounds an operation id given by the user.
	maxIDBytes = 64
)

// operationOptions are the options of verbs that change the configuration.
type operationOptions struct {
	Wait        time.Duration `long:"wait" value-name:"TIME" default:"5s" description:"longest wait until the change is in force everywhere"`
	OperationID string        `long:"operation-id" value-name:"ID" description:"id of the operation, to resend one whose answer was lost (default: a new UUIDv7)"`
}

// id returns the operation's id.
func (o *operationOptions) id() (string, *report) {
	if len(o.OperationID) > maxIDBytes || strings.ContainsAny(o.OperationID, " \t\r\n") {
		return "", usage(fmt.Sprintf("--operation-id: found %q, allowed at most %d characters without spaces", o.OperationID, maxIDBytes), "")
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

// inForce waits until an accepted change is in force everywhere, and reports
// it. The function returns the answer to print, with the change's last state.
func (a *app) inForce(options operationOptions, operation, what string, change *apiv1.Change, answer func(*apiv1.Change) any) *report {
	change, problem := a.awaitChange(change, options.Wait)
	r := &report{Exit: ExitOK, ID: operation, Answer: answer(change)}
	if change.GetInForce() {
		r.Message = fmt.Sprintf("%s is in force everywhere (change %d)", what, change.GetIndex())
		return r
	}
	r.Exit = ExitWaiting
	r.Message = fmt.Sprintf("%s is accepted as change %d and not yet in force in: %s", what, change.GetIndex(), outstanding(change))
	r.Next = "the change takes effect there when contact returns or the configuration lease expires; " +
		"run the same command with --operation-id " + operation + " to wait again"
	if problem != nil {
		r.Message += "; its state could not be asked for: " + problem.Message
	}
	return r
}

// awaitChange asks for the state of a change until it is in force or the wait
// is over, and returns the last state known.
func (a *app) awaitChange(change *apiv1.Change, wait time.Duration) (*apiv1.Change, *report) {
	var problem *report
	for end := time.Now().Add(wait); !change.GetInForce() && time.Now().Before(end); {
		time.Sleep(min(changePoll, time.Until(end)))
		question := &apiv1.GetChangeRequest{Index: change.GetIndex()}
		var answer *apiv1.ChangeResponse
		answer, problem = askOperator(a, operator(), apiv1connect.OperatorServiceClient.GetChange, question)
		if problem == nil {
			change = answer.GetChange()
		}
	}
	return change, problem
}

// outstanding returns the data centres where a change is not in force.
func outstanding(change *apiv1.Change) string {
	if len(change.GetOutstanding()) == 0 {
		return "(not known yet)"
	}
	return strings.Join(change.GetOutstanding(), ", ")
}

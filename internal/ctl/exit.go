package ctl

import (
	"errors"
	"net"
	"strings"

	"connectrpc.com/connect"

	"laburnumgrade/gen/apiv1"
)

// Exit is an exit code. Scripts rely on these numbers.
type Exit int

// Exit codes.
const (
	// ExitOK means that the verb has done what it says.
	ExitOK Exit = 0
	// ExitUsage means wrong arguments or input; nothing was sent, or the entry
	// refused the input as malformed.
	ExitUsage Exit = 1
	// ExitRefused means that the work or change was refused and has not run.
	ExitRefused Exit = 2
	// ExitFailed means that the work ran and failed.
	ExitFailed Exit = 3
	// ExitUnknown means that the work or change may or may not have run.
	ExitUnknown Exit = 4
	// ExitUnreachable means that no entry could be reached: nothing was sent, or
	// only a question that changes nothing.
	ExitUnreachable Exit = 5
	// ExitWaiting means that the work has not ended, or that the change is
	// accepted and not yet in force everywhere.
	ExitWaiting Exit = 6
)

// exitNames are the codes as in the field result of --json.
var exitNames = map[Exit]string{
	ExitOK: "ok", ExitUsage: "usage", ExitRefused: "not_run", ExitFailed: "failed",
	ExitUnknown: "outcome_unknown", ExitUnreachable: "unreachable", ExitWaiting: "waiting",
}

// String returns the code as text.
func (e Exit) String() string { return exitNames[e] }

// outcomeExit returns the code for the outcome of work.
func outcomeExit(outcome apiv1.Outcome) Exit {
	switch outcome {
	case apiv1.Outcome_OUTCOME_OK:
		return ExitOK
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		return ExitRefused
	case apiv1.Outcome_OUTCOME_FAILED, apiv1.Outcome_OUTCOME_CANCELLED:
		return ExitFailed
	default:
		return ExitUnknown
	}
}

// The three kinds of error answer start the message of an error.
const (
	prefixNotRun  = "not run"
	prefixFailed  = "failed"
	prefixUnknown = "outcome unknown"
)

// errorExit returns the code for the error of one try. A change that may have
// happened is never reported as refused: an error that does not exclude it
// counts as unknown if the verb changes something.
func errorExit(err error, changes bool) Exit {
	if notSent(err) {
		return ExitUnreachable
	}
	if !connect.IsWireError(err) {
		return either(changes, ExitUnknown, ExitUnreachable)
	}
	var failure *connect.Error
	errors.As(err, &failure)
	switch {
	case strings.HasPrefix(failure.Message(), prefixNotRun):
		return ExitRefused
	case strings.HasPrefix(failure.Message(), prefixFailed):
		return ExitFailed
	case strings.HasPrefix(failure.Message(), prefixUnknown):
		return ExitUnknown
	}
	return codeExit(failure.Code(), changes)
}

// codeExit returns the code for an error answer that names none of the three
// kinds.
func codeExit(code connect.Code, changes bool) Exit {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeOutOfRange:
		return ExitUsage
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodeFailedPrecondition, connect.CodeAborted, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return ExitRefused
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return either(changes, ExitUnknown, ExitUnreachable)
	default:
		return either(changes, ExitUnknown, ExitFailed)
	}
}

// notSent reports whether the error shows that no connection was made, so that
// nothing was sent.
func notSent(err error) bool {
	var operation *net.OpError
	return !connect.IsWireError(err) && errors.As(err, &operation) && operation.Op == "dial"
}

// either returns a if the condition holds, otherwise b.
func either(condition bool, a, b Exit) Exit {
	if condition {
		return a
	}
	return b
}

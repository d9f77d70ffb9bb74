package ctl

import (
	"errors"
	"net"
	"strings"

	"connectrpc.com/connect"

	"laburnumgrade/gen/apiv1"
)

// ExitCode is an exit code. Scripts rely on these numbers.
type ExitCode int

// Exit codes.
const (
	// ExitOK means that the verb has done what it says.
	ExitOK ExitCode = 0
	// ExitUsage means wrong arguments or input; nothing was sent, or the entry
	// refused the input as malformed.
	ExitUsage ExitCode = 1
	// ExitNotRun means that the work or change was refused and has not run.
	ExitNotRun ExitCode = 2
	// ExitFailed means that the work ran and failed.
	ExitFailed ExitCode = 3
	// ExitOutcomeUnknown means that the work or change may or may not have run.
	ExitOutcomeUnknown ExitCode = 4
	// ExitUnreachable means that no entry could be reached: nothing was sent, or
	// only a question that changes nothing.
	ExitUnreachable ExitCode = 5
	// ExitWaiting means that the work has not ended, or that the change is
	// accepted and not yet in force everywhere.
	ExitWaiting ExitCode = 6
)

// exitNames are the codes as in the field result of --json.
var exitNames = map[ExitCode]string{
	ExitOK: "ok", ExitUsage: "usage", ExitNotRun: "not_run", ExitFailed: "failed",
	ExitOutcomeUnknown: "outcome_unknown", ExitUnreachable: "unreachable", ExitWaiting: "waiting",
}

// String returns the code as text.
func (e ExitCode) String() string { return exitNames[e] }

// outcomeExit returns the code for the outcome of work.
func outcomeExit(outcome apiv1.Outcome) ExitCode {
	switch outcome {
	case apiv1.Outcome_OUTCOME_OK:
		return ExitOK
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		return ExitNotRun
	case apiv1.Outcome_OUTCOME_FAILED, apiv1.Outcome_OUTCOME_CANCELLED:
		return ExitFailed
	default:
		return ExitOutcomeUnknown
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
func errorExit(err error, changes bool) ExitCode {
	if notSent(err) {
		return ExitUnreachable
	}
	if !connect.IsWireError(err) {
		return either(changes, ExitOutcomeUnknown, ExitUnreachable)
	}
	var failure *connect.Error
	errors.As(err, &failure)
	switch {
	case strings.HasPrefix(failure.Message(), prefixNotRun):
		return ExitNotRun
	case strings.HasPrefix(failure.Message(), prefixFailed):
		return ExitFailed
	case strings.HasPrefix(failure.Message(), prefixUnknown):
		return ExitOutcomeUnknown
	}
	return codeExit(failure.Code(), changes)
}

// codeExit returns the code for an error answer that names none of the three
// kinds.
func codeExit(code connect.Code, changes bool) ExitCode {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeOutOfRange:
		return ExitUsage
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodeFailedPrecondition, connect.CodeAborted, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return ExitNotRun
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return either(changes, ExitOutcomeUnknown, ExitUnreachable)
	default:
		return either(changes, ExitOutcomeUnknown, ExitFailed)
	}
}

// notSent reports whether the error shows that no connection was made, so that
// nothing was sent.
func notSent(err error) bool {
	var operation *net.OpError
	return !connect.IsWireError(err) && errors.As(err, &operation) && operation.Op == "dial"
}

// either returns a if the condition holds, otherwise b.
func either(condition bool, a, b ExitCode) ExitCode {
	if condition {
		return a
	}
	return b
}

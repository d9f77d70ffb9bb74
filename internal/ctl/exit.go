package ctl

import (
	"errors"
	"strings"

	"connectrpc.com/connect"

	"laburnumgrade/gen/apiv1"
)

// ExitCode is an exit code of lgctl. Scripts rely on the numbers.
type ExitCode int

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitUsage means wrong arguments or input; nothing was sent, or the entry
	// refused the input as malformed.
	ExitUsage ExitCode = 1
	// ExitNotRun means that the work or change was refused and had no effect.
	ExitNotRun ExitCode = 2
	// ExitFailed means that the work ran and failed.
	ExitFailed ExitCode = 3
	// ExitOutcomeUnknown means that the work or change may or may not have taken
	// effect.
	ExitOutcomeUnknown ExitCode = 4
	// ExitUnreachable means that no entry could be reached, and that either nothing
	// was sent or the request changes nothing.
	ExitUnreachable ExitCode = 5
	// ExitWaiting means that the work has not ended, or that the change is accepted
	// but not yet in force everywhere.
	ExitWaiting ExitCode = 6
)

// exitNames holds the values of the field result of --json.
var exitNames = map[ExitCode]string{
	ExitOK: "ok", ExitUsage: "usage", ExitNotRun: "not_run", ExitFailed: "failed",
	ExitOutcomeUnknown: "outcome_unknown", ExitUnreachable: "unreachable", ExitWaiting: "waiting",
}

// String returns the code as in the field result of --json.
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

// Prefixes with which entries and services start the message of an error.
const (
	prefixNotRun  = "not run"
	prefixFailed  = "failed"
	prefixUnknown = "outcome unknown"
)

// errorExit returns the code for the error of one try; sent is set if a part of the
// request may have been sent. An error that leaves open whether the request was
// carried out counts as an unknown outcome if the request changes something, so that
// a change that took effect is never reported as refused.
func errorExit(err error, sent, isChange bool) ExitCode {
	if !sent {
		return ExitUnreachable
	}
	if !connect.IsWireError(err) {
		return either(isChange, ExitOutcomeUnknown, ExitUnreachable)
	}
	var connectError *connect.Error
	errors.As(err, &connectError)
	switch {
	case strings.HasPrefix(connectError.Message(), prefixNotRun):
		return ExitNotRun
	case strings.HasPrefix(connectError.Message(), prefixFailed):
		return ExitFailed
	case strings.HasPrefix(connectError.Message(), prefixUnknown):
		return ExitOutcomeUnknown
	}
	return codeExit(connectError.Code(), isChange)
}

// codeExit returns the code for an error whose message starts with none of the
// prefixes.
func codeExit(code connect.Code, isChange bool) ExitCode {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeOutOfRange:
		return ExitUsage
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodeFailedPrecondition, connect.CodeAborted, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return ExitNotRun
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return either(isChange, ExitOutcomeUnknown, ExitUnreachable)
	default:
		return either(isChange, ExitOutcomeUnknown, ExitFailed)
	}
}

// either returns a if the condition is true, otherwise b.
func either(condition bool, a, b ExitCode) ExitCode {
	if condition {
		return a
	}
	return b
}

package logging

import (
	"io"
	"log/slog"
	"slices"
	"strings"
)

// Names of the fields of a record.
const (
	fieldProcess    = "process"
	fieldDataCentre = "data_centre"
	fieldStep       = "step"
	fieldPeer       = "peer"
	fieldRequest    = "request"
	fieldJob        = "job"
	fieldTask       = "task"
	fieldTeam       = "team"
	fieldError      = "error"
)

// secretFields are redacted whatever the type of their value.
var secretFields = []string{"authorization", "secret", "team_key", "operator_key"}

// New returns a logger that writes one JSON object to a line, each with the
// process and its data centre.
func New(w io.Writer, process, dataCentre string, level slog.Leveler) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: hideSecrets})
	return slog.New(handler).With(fieldProcess, process, fieldDataCentre, dataCentre)
}

// hideSecrets redacts fields by name, for callers that log a bare string.
func hideSecrets(_ []string, attr slog.Attr) slog.Attr {
	if slices.Contains(secretFields, strings.ToLower(attr.Key)) {
		return slog.String(attr.Key, redacted)
	}
	return attr
}

// Step names the step of the process that a record is about.
func Step(step string) slog.Attr { return slog.String(fieldStep, step) }

// Peer names the other process, worker or instance concerned.
func Peer(peer string) slog.Attr { return slog.String(fieldPeer, peer) }

// Request names a call by its id.
func Request(id string) slog.Attr { return slog.String(fieldRequest, id) }

// Job names a job by its id.
func Job(id string) slog.Attr { return slog.String(fieldJob, id) }

// Task names a task by its job and number.
func Task(job string, number int) slog.Attr {
	return slog.Group("", slog.String(fieldJob, job), slog.Int(fieldTask, number))
}

// Team names a team.
func Team(team string) slog.Attr { return slog.String(fieldTeam, team) }

// Error holds the error of a failed step.
func Error(err error) slog.Attr { return slog.Any(fieldError, err) }

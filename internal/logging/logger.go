package logging

import (
	"io"
	"log/slog"
	"slices"
	"strings"
)

// Names of the fields of a log record.
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

// secretFields are the names, in lower case, of fields whose value is always
// redacted.
var secretFields = []string{"authorization", "secret", "team_key", "operator_key"}

// New returns a logger that writes one JSON object per line. Each record has the
// fields process and data_centre.
func New(w io.Writer, process, dataCentre string, level slog.Leveler) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: redactSecrets})
	return slog.New(handler).With(fieldProcess, process, fieldDataCentre, dataCentre)
}

// redactSecrets redacts secretFields by name, in case a caller logs a key as a
// plain string instead of a Secret.
func redactSecrets(_ []string, attr slog.Attr) slog.Attr {
	if slices.Contains(secretFields, strings.ToLower(attr.Key)) {
		return slog.String(attr.Key, redacted)
	}
	return attr
}

// Step returns the field for the operation that a record is about.
func Step(step string) slog.Attr { return slog.String(fieldStep, step) }

// Peer returns the field for the other process, worker or instance concerned.
func Peer(peer string) slog.Attr { return slog.String(fieldPeer, peer) }

// Request returns the field for the id of a call.
func Request(id string) slog.Attr { return slog.String(fieldRequest, id) }

// Job returns the field for the id of a job.
func Job(id string) slog.Attr { return slog.String(fieldJob, id) }

// Task returns the fields for a task: the id of its job and its number therein.
func Task(job string, number int) slog.Attr {
	return slog.Group("", slog.String(fieldJob, job), slog.Int(fieldTask, number))
}

// Team returns the field for the name of a team.
func Team(team string) slog.Attr { return slog.String(fieldTeam, team) }

// Error returns the field for the error of a failed operation.
func Error(err error) slog.Attr { return slog.Any(fieldError, err) }

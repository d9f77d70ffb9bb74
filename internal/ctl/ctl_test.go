package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

const document = `[service]
team = red
name = print
command = print
class = batch
[size]
cpu = 1
memory = 1GB
[limits]
cpu = 8
memory = 8GB
`

// newJob returns a job with one task in a state.
func newJob(state apiv1.JobState, outcome apiv1.Outcome) *apiv1.Job {
	return &apiv1.Job{
		JobId: "j", Team: "red", Service: "print", State: state, Outcome: outcome,
		Results: []*apiv1.TaskResult{{Outcome: outcome, Answer: []byte("paper"), Attempts: 2}},
	}
}

// entryWithEndedJob returns an entry whose job has ended.
func entryWithEndedJob(outcome apiv1.Outcome) *fakeEntry {
	return &fakeEntry{job: newJob(apiv1.JobState_JOB_STATE_ENDED, outcome)}
}

// entryWithError returns an entry that answers every request with an error.
func entryWithError(code connect.Code, message string) *fakeEntry {
	return &fakeEntry{err: connect.NewError(code, errors.New(message))}
}

// entryWithOutcome returns an entry that answers calls with an outcome.
func entryWithOutcome(outcome apiv1.Outcome) *fakeEntry {
	return &fakeEntry{answer: &apiv1.CallResponse{Outcome: outcome, Body: []byte("body"), Detail: "because"}}
}

// Guards against changes of the exit codes that scripts rely on, against output to
// the wrong stream, and against messages that do not say what to do next.
func TestExitCodes(t *testing.T) {
	running := &fakeEntry{job: newJob(apiv1.JobState_JOB_STATE_RUNNING, 0)}
	tests := []struct {
		name      string
		entry     *fakeEntry
		arguments string
		exit      ExitCode
		stdout    string
		stderr    string
	}{
		{"no verb", &fakeEntry{}, "", 1, "", "next: run lgctl --help"},
		{"unknown verb", &fakeEntry{}, "frob", 1, "", `unknown verb "frob"`},
		{"unknown option", &fakeEntry{}, "status --frob", 1, "", "unknown flag"},
		{"missing argument", &fakeEntry{}, "doc get red", 1, "", "SERVICE"},
		{"extra argument", &fakeEntry{}, "status now", 1, "", `unexpected argument "now"`},
		{"host name", &fakeEntry{}, "status --entry localhost:80", 1, "", `found "localhost:80", allowed ip:port`},
		{"help", &fakeEntry{}, "--help", 0, "Available commands", ""},
		{"check", &fakeEntry{}, "--check", 0, "", "well formed"},
		{"check key file", &fakeEntry{}, "--check --key-file /does/not/exist", 1, "", "key file"},

		{"submit", &fakeEntry{}, "job submit red print --payload -", 0, "-7", "accepted in data centre Pikine"},
		{"submit again", &fakeEntry{duplicate: true}, "job submit red print", 0, "", "accepted before"},
		{"submit, wait, ok", entryWithEndedJob(apiv1.Outcome_OUTCOME_OK), "job submit red print --wait 1s", 0, "task 0: ok, 2 attempt(s): paper", ""},
		{"submit, wait, running", running, "job submit red print --wait 50ms", 6, "running", "lgctl job explain j"},
		{"submit, wait, lost", &fakeEntry{waitErr: errors.New("lost")}, "job submit red print --wait 1s", 6, "-7", "the job is accepted"},
		{"no timeout", &fakeEntry{}, "status --timeout 0s", 1, "", "--timeout"},
		{"submit, bad id", &fakeEntry{}, "job submit red print --job-id 5", 1, "", "allowed a UUIDv7"},
		{"submit, not a v7 id", &fakeEntry{}, "job submit red print --job-id 1b4e28ba-2fa1-4d2e-883f-0016d3cca427", 1, "", "allowed a UUIDv7"},
		{"submit, negative tasks", &fakeEntry{}, "job submit red print --tasks=-1", 1, "", "negative"},
		{"submit refused", entryWithError(connect.CodeResourceExhausted, "not run: queue of team red is full"), "job submit red print", 2, "", "raise it in the document"},
		{"submit too large", entryWithError(connect.CodeFailedPrecondition, "not run: needs 96 cores; the largest worker has 64"), "job submit red print", 2, "", "needs 96 cores"},
		{"submit, wrong key", entryWithError(connect.CodeUnauthenticated, "unknown key"), "job submit red print", 2, "", "set LGCTL_KEY"},
		{"submit, internal error", entryWithError(connect.CodeInternal, "lost leadership"), "job submit red print", 4, "", "with the same id"},
		{"submit, deadline", entryWithError(connect.CodeDeadlineExceeded, "late"), "job submit red print", 4, "", "with the same id"},
		{"submit, stated unknown", entryWithError(connect.CodeFailedPrecondition, "outcome unknown: id expired"), "job submit red print", 4, "", "id expired"},
		{"submit, malformed", entryWithError(connect.CodeInvalidArgument, "id is in the future"), "job submit red print", 1, "", "correct the input"},
		{"status of job", running, "job status j", 0, "running", ""},
		{"status, unknown id", entryWithError(connect.CodeNotFound, "no such job"), "job status j", 2, "", "check the id"},
		{"status, internal error", entryWithError(connect.CodeInternal, "bug"), "job status j", 3, "", "bug"},
		{"result ok", entryWithEndedJob(apiv1.Outcome_OUTCOME_OK), "job result j", 0, "ended, ok", ""},
		{"result not run", entryWithEndedJob(apiv1.Outcome_OUTCOME_NOT_RUN), "job result j", 2, "not run", "new id"},
		{"result failed", entryWithEndedJob(apiv1.Outcome_OUTCOME_FAILED), "job result j", 3, "failed", "ended as failed"},
		{"result cancelled", entryWithEndedJob(apiv1.Outcome_OUTCOME_CANCELLED), "job result j", 3, "cancelled", "ended as cancelled"},
		{"result unknown", entryWithEndedJob(apiv1.Outcome_OUTCOME_UNKNOWN), "job result j", 4, "outcome unknown", "before submitting it again"},
		{"result running", running, "job result j", 6, "running", "has not ended"},
		{"cancel ended", entryWithEndedJob(apiv1.Outcome_OUTCOME_CANCELLED), "job cancel j", 0, "cancelled", "ended as cancelled"},
		{"cancel running", running, "job cancel j", 6, "running", "being stopped"},
		{"explain", &fakeEntry{explain: &apiv1.ExplainJobResponse{State: 1, Reasons: []string{"limit of team red"}}}, "job explain j", 0, "state: waiting\nlimit of team red", ""},
		{"explain impossible", &fakeEntry{explain: &apiv1.ExplainJobResponse{Impossible: true}}, "job explain j", 2, "", "add a larger worker"},

		{"call ok", entryWithOutcome(apiv1.Outcome_OUTCOME_OK), "call red print", 0, "body", ""},
		{"call not run", entryWithOutcome(apiv1.Outcome_OUTCOME_NOT_RUN), "call red print", 2, "", "not run: because"},
		{"call failed", entryWithOutcome(apiv1.Outcome_OUTCOME_FAILED), "call red print", 3, "", "failed: because"},
		{"call unknown", entryWithOutcome(apiv1.Outcome_OUTCOME_UNKNOWN), "call red print", 4, "", "--request-id"},
		{"call, another's answer", &fakeEntry{answer: &apiv1.CallResponse{RequestId: "x", Outcome: 1, Body: []byte("body")}}, "call red print", 4, "", "belongs to request x"},
		{"call, no time", &fakeEntry{}, "call red print --deadline 0s", 1, "", "--deadline"},

		{"put", &fakeEntry{pollsUntilInForce: 1}, "doc put -", 0, "", "version 1 of document red/print is in force everywhere (change 9)"},
		{"put, outstanding", &fakeEntry{pollsUntilInForce: -9}, "doc put - --wait 50ms", 6, "", "not yet in force in: Pikine, Thiès"},
		{"put, lost race", entryWithError(connect.CodeAborted, "version 2 was put by another"), "doc put -", 2, "", "lgctl doc get"},
		{"get", &fakeEntry{}, "doc get red print", 0, "[service]\n", "version 3"},
		{"document check", &fakeEntry{}, "doc check -", 0, "queue = 1000", "ok"},
		{"grant", &fakeEntry{}, "key grant red", 0, "the-new-key\n", "store the key now"},
		{"grant, outstanding", &fakeEntry{pollsUntilInForce: -9}, "key grant red --wait 50ms", 6, "the-new-key\n", "store the key now"},
		{"grant, resent", &fakeEntry{omitKey: true}, "key grant red", 3, "", "lgctl key withdraw k1"},
		{"withdraw", &fakeEntry{}, "key withdraw k1", 0, "", "in force everywhere"},
		{"withdraw, outstanding", &fakeEntry{pollsUntilInForce: -9}, "key withdraw k1 --wait 50ms", 6, "", "--operation-id"},
		{"list keys", &fakeEntry{}, "key list red", 0, "withdrawn", ""},
		{"cluster status", &fakeEntry{groups: []*apiv1.GroupStatus{{Group: "fleet", Leader: "control-1"}}}, "status", 0, "control-1", ""},
		{"no leader", &fakeEntry{groups: []*apiv1.GroupStatus{{Group: "fleet"}}}, "status", 3, "fleet", "has no leader"},
		{"members", &fakeEntry{members: []*apiv1.Member{{Process: "entry-1"}}}, "members", 0, "entry-1", ""},
		{"timeline without admin address", &fakeEntry{}, "timeline", 3, "", "give --admin"},
		{"timeline, wrong kind", &fakeEntry{}, "timeline --kind begun", 1, "", "unknown kind"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			variables := []string{"LGCTL_ENTRY=" + test.entry.start(t), "LGCTL_KEY=team-secret", "LGCTL_OPERATOR_KEY=operator-secret"}
			got := lgctl(variables, document, strings.Fields(test.arguments)...)
			assert.Equal(t, got.exit, test.exit, "%+v", got)
			assert.Assert(t, strings.Contains(got.stdout, test.stdout), "%+v", got)
			assert.Assert(t, strings.Contains(got.stderr, test.stderr), "%+v", got)
			assert.Assert(t, !strings.Contains(got.stdout+got.stderr, "-secret"), "a key is printed: %+v", got)
			if strings.Contains(test.arguments, "--help") {
				return
			}
			// The answers of the entry may differ the second time, but the exit code
			// must be in the object and nothing on standard error.
			asJSON := lgctl(variables, document, append(strings.Fields(test.arguments), "--json")...)
			var object jsonReport
			assert.NilError(t, json.Unmarshal([]byte(asJSON.stdout), &object), asJSON.stdout)
			assert.Equal(t, object.Exit, asJSON.exit)
			assert.Equal(t, asJSON.stderr, "")
		})
	}
}

// Guards against an entry that is not tried, a resend with another id, and a
// refusal that is reported although an earlier entry may have accepted the change.
func TestFailover(t *testing.T) {
	refused := entryWithError(connect.CodePermissionDenied, "not run: configuration lease has expired")
	draining := entryWithError(connect.CodeUnavailable, "not run: draining")
	notRunEntry := &fakeEntry{answer: &apiv1.CallResponse{Outcome: apiv1.Outcome_OUTCOME_NOT_RUN, Detail: "no free slot"}}
	tests := []struct {
		name    string
		verb    string
		entries []*fakeEntry // nil refuses connections
		exit    ExitCode
		message string
	}{
		{"first is down", "job submit red print", []*fakeEntry{nil, {}}, 0, "accepted"},
		{"first loses the answer", "job submit red print", []*fakeEntry{{dropConnection: true}, {duplicate: true}}, 0, "accepted before"},
		{"first drains", "job submit red print", []*fakeEntry{draining, {}}, 0, "accepted"},
		{"all drain", "job submit red print", []*fakeEntry{draining, draining}, 2, "draining"},
		{"all are down", "job submit red print", []*fakeEntry{nil, nil}, 5, "check the entry addresses"},
		{"all lose the answer", "job submit red print", []*fakeEntry{{dropConnection: true}}, 4, "it never runs twice"},
		{"lost, then refused", "job submit red print", []*fakeEntry{{dropConnection: true}, refused}, 4, "an earlier answer was lost"},
		{"down, then refused", "job submit red print", []*fakeEntry{nil, refused}, 2, "lease has expired"},
		{"a call, lost, then not run", "call red print", []*fakeEntry{{dropConnection: true}, notRunEntry}, 4, "an earlier try may have run"},
		{"a call, down, then not run", "call red print", []*fakeEntry{nil, notRunEntry}, 2, "no free slot"},
		{"a read, lost", "job status j", []*fakeEntry{{dropConnection: true}}, 5, "run the same command again"},
		{"a read, lost then refused", "job status j", []*fakeEntry{{dropConnection: true}, refused}, 2, "lease has expired"},
		{"a change, lost", "key withdraw k1 --wait 1s", []*fakeEntry{{dropConnection: true}, {}}, 0, "in force"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			arguments := strings.Fields(test.verb)
			ids := map[string]bool{}
			for _, entry := range test.entries {
				entry.resetIDs()
				address := closedPort
				if entry != nil {
					address = entry.start(t)
				}
				arguments = append(arguments, "--entry", address)
			}
			got := lgctl(nil, "", arguments...)
			assert.Equal(t, got.exit, test.exit, "%+v", got)
			assert.Assert(t, strings.Contains(got.stdout+got.stderr, test.message), "%+v", got)
			for _, entry := range test.entries {
				if entry != nil {
					requests, sent := entry.recorded()
					assert.Assert(t, requests > 0)
					for _, id := range sent {
						ids[id] = true
					}
				}
			}
			assert.Assert(t, len(ids) <= 1, "%v", ids)
		})
	}
}

// Guards against a call that is sent again after a lost answer without resend, so that the
// entry answers "not run" for that try alone, and against resend on a call sent once.
func TestCallSaysResend(t *testing.T) {
	for _, test := range []struct {
		first  *fakeEntry // nil refuses connections
		resend bool
	}{{nil, false}, {&fakeEntry{dropConnection: true}, true}} {
		first := closedPort
		if test.first != nil {
			first = test.first.start(t)
		}
		second := entryWithOutcome(apiv1.Outcome_OUTCOME_OK)
		got := lgctl(nil, "", "call", "red", "print", "--entry", first, "--entry", second.start(t))
		assert.Equal(t, got.exit, ExitOK, "%+v", got)
		assert.DeepEqual(t, second.resends, []bool{test.resend})
	}
}

// Guards against "not run" for a call that the user sends again after an unknown outcome,
// with the id of the first command.
func TestGivenRequestIDIsResend(t *testing.T) {
	entry := &fakeEntry{answer: &apiv1.CallResponse{Outcome: apiv1.Outcome_OUTCOME_NOT_RUN, Detail: "draining"}}
	got := lgctl(nil, "", "call", "red", "print", "--entry", entry.start(t), "--request-id", newID())
	assert.Equal(t, got.exit, ExitOutcomeUnknown, "%+v", got)
	assert.DeepEqual(t, entry.resends, []bool{true})
}

// Guards against a change that is reported as possibly carried out although no entry
// accepted a connection within the timeout, and against one that is reported as not sent
// although an entry received it.
func TestTimeoutBeforeConnection(t *testing.T) {
	received := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // without this the end of the connection is not noticed
		<-r.Context().Done()
	}))
	defer received.Close()
	address := strings.TrimPrefix(received.URL, "http://")
	for _, test := range []struct {
		name    string
		dial    func(ctx context.Context, network, address string) (net.Conn, error)
		timeout time.Duration
		exit    ExitCode
	}{
		{"no connection", func(context.Context, string, string) (net.Conn, error) {
			<-t.Context().Done()
			return nil, t.Context().Err()
		}, 50 * time.Millisecond, ExitUnreachable},
		{"no answer", (&net.Dialer{}).DialContext, 500 * time.Millisecond, ExitOutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newHTTPClient()
			client.Transport.(*http.Transport).DialContext = test.dial
			defer client.CloseIdleConnections()
			a := &app{Entry: []string{address}, Timeout: test.timeout, http: client, environment: Environment{Getenv: func(string) string { return "" }}}
			_, report := sendToCallerService(a, teamChange("j"), apiv1connect.CallerServiceClient.SubmitJob, &apiv1.SubmitJobRequest{JobId: "j"})
			assert.Equal(t, report.Exit, test.exit, "%+v", report)
		})
	}
}

// Guards against sending the wrong key or a malformed one.
func TestKeySources(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(file, []byte("from-file\n"), 0o600))
	broken := filepath.Join(t.TempDir(), "broken")
	assert.NilError(t, os.WriteFile(broken, []byte("two words-secret\n"), 0o600))
	both := []string{"LGCTL_KEY=team-key", "LGCTL_OPERATOR_KEY=operator-key"}
	tests := []struct {
		variables []string
		arguments string
		exit      ExitCode
		want      string
	}{
		{both, "job status j", 0, "Bearer team-key"},
		{both, "doc get a b", 0, "Bearer operator-key"},
		{both, "job status j --key-file " + file, 0, "Bearer from-file"},
		{nil, "job status j", 0, ""},
		{nil, "job status j --key-file " + broken, 1, ""},
		{[]string{"LGCTL_KEY=a\nb"}, "job status j", 1, ""},
	}
	for _, test := range tests {
		t.Run(test.arguments, func(t *testing.T) {
			entry := entryWithEndedJob(apiv1.Outcome_OUTCOME_OK)
			arguments := append(strings.Fields(test.arguments), "--entry", entry.start(t))
			got := lgctl(test.variables, "", arguments...)
			assert.Equal(t, got.exit, test.exit, "%+v", got)
			assert.Assert(t, !strings.Contains(got.stderr, "words-secret"))
			if test.exit == ExitOK {
				assert.DeepEqual(t, entry.authorization, []string{test.want})
			}
		})
	}
}

// Guards against generated ids that are not UUIDv7 of the current time, and against
// a given id that is replaced.
func TestRequestIDs(t *testing.T) {
	entry := &fakeEntry{}
	address := entry.start(t)
	given := "01939b7c-5f00-7000-8000-000000000001"
	assert.Equal(t, lgctl(nil, "", "job", "submit", "red", "print", "--entry", address).exit, ExitOK)
	assert.Equal(t, lgctl(nil, "", "job", "submit", "red", "print", "--entry", address, "--job-id", given).exit, ExitOK)
	assert.Equal(t, lgctl(nil, document, "doc", "put", "-", "--entry", address, "--wait", "0s", "--operation-id", "op-1").exit, ExitOK)
	_, ids := entry.recorded()
	made, err := uuid.Parse(ids[0])
	assert.NilError(t, err)
	assert.Equal(t, made.Version(), uuid.Version(7))
	seconds, _ := made.Time().UnixTime()
	assert.Assert(t, time.Since(time.Unix(seconds, 0)).Abs() < time.Minute)
	assert.DeepEqual(t, ids[1:], []string{given, "op-1"})
}

// Guards against a faulty document that is sent to an entry, or whose faults are
// not all printed.
func TestDocumentFaults(t *testing.T) {
	entry := &fakeEntry{}
	text := strings.NewReplacer("batch", "bach", "1GB", "1").Replace(document)
	for _, verb := range []string{"check", "put"} {
		got := lgctl(nil, text, "doc", verb, "-", "--entry", entry.start(t))
		assert.Equal(t, got.exit, ExitUsage)
		assert.Assert(t, strings.HasPrefix(got.stdout, `-:5: service.class: found "bach"`), got.stdout)
		assert.Assert(t, strings.Contains(got.stdout, "\n-:8: size.memory: found \"1\""), got.stdout)
		assert.Assert(t, strings.Contains(got.stderr, "2 fault(s)"), got.stderr)
	}
	requests, _ := entry.recorded()
	assert.Equal(t, requests, 0)
}

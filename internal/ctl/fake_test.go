package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

// fakeEntry is an entry that gives the answers in its fields and records the
// requests.
type fakeEntry struct {
	apiv1connect.UnimplementedCallerServiceHandler
	apiv1connect.UnimplementedOperatorServiceHandler

	// err is the answer to every request if set.
	err error
	// dropConnection closes the connection without an answer after a request was
	// read.
	dropConnection bool
	job            *apiv1.Job
	// waitErr is the answer to WaitJob if set.
	waitErr error
	answer  *apiv1.CallResponse
	// pollsUntilInForce is the number of GetChange requests until the change is in
	// force; negative means never.
	pollsUntilInForce int
	// omitKey leaves the key out of the answer to GrantKey, as for a repeated one.
	omitKey   bool
	duplicate bool
	explain   *apiv1.ExplainJobResponse
	groups    []*apiv1.GroupStatus
	members   []*apiv1.Member

	mu            sync.Mutex
	ids           []string
	resends       []bool // of the calls
	authorization []string
	requests      int
}

// start serves the entry and returns its address.
func (f *fakeEntry) start(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewCallerServiceHandler(f))
	mux.Handle(apiv1connect.NewOperatorServiceHandler(f))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.requests++
		f.authorization = append(f.authorization, r.Header.Get("Authorization"))
		f.mu.Unlock()
		if f.dropConnection {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedPort is an address that refuses connections. The kernel gives its port to no other
// process, as it could give a port that was free a moment before.
const closedPort = "127.0.0.1:1"

// recordID records the id of a request.
func (f *fakeEntry) recordID(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = append(f.ids, id)
}

// recorded returns the number of requests and the ids in them.
func (f *fakeEntry) recorded() (int, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests, f.ids
}

// resetIDs removes the ids recorded in an earlier test.
func (f *fakeEntry) resetIDs() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = nil
}

// change returns the change's state after one more request for it.
func (f *fakeEntry) change() *apiv1.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pollsUntilInForce--
	if f.pollsUntilInForce == -1 {
		f.pollsUntilInForce = 0
		return &apiv1.Change{Index: 9, InForce: true}
	}
	return &apiv1.Change{Index: 9, Outstanding: []string{"Pikine", "Thiès"}}
}

func (f *fakeEntry) SubmitJob(_ context.Context, r *connect.Request[apiv1.SubmitJobRequest]) (*connect.Response[apiv1.SubmitJobResponse], error) {
	f.recordID(r.Msg.GetJobId())
	return connect.NewResponse(&apiv1.SubmitJobResponse{JobId: r.Msg.GetJobId(), DataCentre: "Pikine", Duplicate: f.duplicate}), f.err
}

func (f *fakeEntry) GetJob(context.Context, *connect.Request[apiv1.GetJobRequest]) (*connect.Response[apiv1.Job], error) {
	return connect.NewResponse(f.job), f.err
}

func (f *fakeEntry) WaitJob(context.Context, *connect.Request[apiv1.WaitJobRequest]) (*connect.Response[apiv1.Job], error) {
	if f.waitErr != nil {
		return nil, f.waitErr
	}
	return connect.NewResponse(f.job), f.err
}

func (f *fakeEntry) CancelJob(context.Context, *connect.Request[apiv1.CancelJobRequest]) (*connect.Response[apiv1.Job], error) {
	return connect.NewResponse(f.job), f.err
}

func (f *fakeEntry) ExplainJob(context.Context, *connect.Request[apiv1.ExplainJobRequest]) (*connect.Response[apiv1.ExplainJobResponse], error) {
	return connect.NewResponse(f.explain), f.err
}

func (f *fakeEntry) Call(_ context.Context, r *connect.Request[apiv1.CallRequest]) (*connect.Response[apiv1.CallResponse], error) {
	f.recordID(r.Msg.GetRequestId())
	f.mu.Lock()
	f.resends = append(f.resends, r.Msg.GetResend())
	f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	answer := proto.CloneOf(f.answer)
	if answer.GetRequestId() == "" {
		answer.RequestId = r.Msg.GetRequestId()
	}
	return connect.NewResponse(answer), nil
}

func (f *fakeEntry) PutDocument(_ context.Context, r *connect.Request[apiv1.PutDocumentRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	f.recordID(r.Msg.GetOperationId())
	return connect.NewResponse(&apiv1.ChangeResponse{Change: f.change(), Version: r.Msg.GetReplaces() + 1}), f.err
}

func (f *fakeEntry) GetDocument(context.Context, *connect.Request[apiv1.GetDocumentRequest]) (*connect.Response[apiv1.GetDocumentResponse], error) {
	return connect.NewResponse(&apiv1.GetDocumentResponse{Text: "[service]\n", Version: 3}), f.err
}

func (f *fakeEntry) GrantKey(_ context.Context, r *connect.Request[apiv1.GrantKeyRequest]) (*connect.Response[apiv1.GrantKeyResponse], error) {
	f.recordID(r.Msg.GetOperationId())
	answer := &apiv1.GrantKeyResponse{Key: "the-new-key", KeyId: "k1", Change: f.change()}
	if f.omitKey {
		answer.Key, answer.Duplicate = "", true
	}
	return connect.NewResponse(answer), f.err
}

func (f *fakeEntry) WithdrawKey(_ context.Context, r *connect.Request[apiv1.WithdrawKeyRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	f.recordID(r.Msg.GetOperationId())
	return connect.NewResponse(&apiv1.ChangeResponse{Change: f.change()}), f.err
}

func (f *fakeEntry) ListKeys(context.Context, *connect.Request[apiv1.ListKeysRequest]) (*connect.Response[apiv1.ListKeysResponse], error) {
	keys := []*apiv1.KeyInfo{{KeyId: "k1", Team: "red", Withdrawn: true}}
	return connect.NewResponse(&apiv1.ListKeysResponse{Keys: keys}), f.err
}

func (f *fakeEntry) GetChange(context.Context, *connect.Request[apiv1.GetChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	return connect.NewResponse(&apiv1.ChangeResponse{Change: f.change()}), f.err
}

func (f *fakeEntry) Status(context.Context, *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
	return connect.NewResponse(&apiv1.StatusResponse{Groups: f.groups, Workers: 7}), f.err
}

func (f *fakeEntry) ListMembers(context.Context, *connect.Request[apiv1.ListMembersRequest]) (*connect.Response[apiv1.ListMembersResponse], error) {
	return connect.NewResponse(&apiv1.ListMembersResponse{Members: f.members}), f.err
}

// result is the exit code and output of one run of lgctl.
type result struct {
	exit   ExitCode
	stdout string
	stderr string
}

// lgctl runs the command line with environment variables given as name=value.
func lgctl(variables []string, stdin string, arguments ...string) result {
	getenv := func(name string) string {
		for _, variable := range variables {
			if value, ok := strings.CutPrefix(variable, name+"="); ok {
				return value
			}
		}
		return ""
	}
	var stdout, stderr bytes.Buffer
	exit := Main(arguments, Environment{Getenv: getenv, Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr})
	return result{exit, stdout.String(), stderr.String()}
}

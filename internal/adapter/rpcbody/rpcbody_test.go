package rpcbody

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/intake"
)

const mib = 1 << 20

// caller answers calls with the length of their payloads and counts those that it has carried out.
type caller struct {
	apiv1connect.UnimplementedCallerServiceHandler
	calls int
}

func (c *caller) SubmitJob(_ context.Context, r *connect.Request[apiv1.SubmitJobRequest]) (*connect.Response[apiv1.SubmitJobResponse], error) {
	c.calls++
	return connect.NewResponse(&apiv1.SubmitJobResponse{JobId: r.Msg.JobId, DataCentre: strings.Repeat("x", len(r.Msg.Payload)/1000)}), nil
}

// charged runs each request with an account of its own.
func charged(budget *intake.Budget, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := budget.Open(func() {}, false)
		defer a.Close()
		next.ServeHTTP(w, r.WithContext(intake.NewContext(r.Context(), a)))
	})
}

func newBudget(bytes int64) *intake.Budget {
	return intake.NewBudget(bytes, slog.New(slog.DiscardHandler), tally.NoopScope)
}

// newCaller starts a server over HTTP/1.1 and HTTP/2 and returns a client for each protocol.
func newCaller(t *testing.T, budget *intake.Budget, maxBytes int64) (*caller, map[string]apiv1connect.CallerServiceClient) {
	c := &caller{}
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewCallerServiceHandler(c, connect.WithReadMaxBytes(int(maxBytes))))
	server := httptest.NewUnstartedServer(charged(budget, Connect(mux, maxBytes)))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	http2 := &http.Transport{Protocols: new(http.Protocols)}
	http2.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(http2.CloseIdleConnections)
	client := &http.Client{Transport: http2}
	return c, map[string]apiv1connect.CallerServiceClient{
		"connect":              apiv1connect.NewCallerServiceClient(server.Client(), server.URL),
		"connect, JSON":        apiv1connect.NewCallerServiceClient(server.Client(), server.URL, connect.WithProtoJSON()),
		"connect, compressed":  apiv1connect.NewCallerServiceClient(server.Client(), server.URL, connect.WithSendGzip()),
		"gRPC":                 apiv1connect.NewCallerServiceClient(client, server.URL, connect.WithGRPC()),
		"gRPC, compressed":     apiv1connect.NewCallerServiceClient(client, server.URL, connect.WithGRPC(), connect.WithSendGzip()),
		"gRPC-Web, compressed": apiv1connect.NewCallerServiceClient(server.Client(), server.URL, connect.WithGRPCWeb(), connect.WithSendGzip()),
	}
}

func submission(length int) *connect.Request[apiv1.SubmitJobRequest] {
	return connect.NewRequest(&apiv1.SubmitJobRequest{JobId: "j", Payload: make([]byte, length)})
}

// Guards against calls that no longer arrive, or arrive changed, in one of the protocols.
func TestCallsAreServed(t *testing.T) {
	budget := newBudget(8 * mib)
	_, clients := newCaller(t, budget, mib)
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			for _, length := range []int{0, 1000, 600_000} {
				r, err := client.SubmitJob(t.Context(), submission(length))
				assert.NilError(t, err)
				assert.Equal(t, len(r.Msg.DataCentre), length/1000)
			}
		})
	}
	assert.Equal(t, budget.Held(), int64(0))
}

// Guards against a call that was refused and is carried out, and against a refusal that clients
// don't recognise.
func TestCallWithoutMemoryIsNotCarriedOut(t *testing.T) {
	budget := newBudget(mib)
	c, clients := newCaller(t, budget, 8*mib)
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			_, err := client.SubmitJob(t.Context(), submission(3*mib)) // compressed, it is 3 KiB long
			assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable, "%v", err)
			assert.ErrorContains(t, err, "not run")
			_, err = client.SubmitJob(t.Context(), submission(10))
			assert.NilError(t, err)
		})
	}
	assert.Equal(t, c.calls, len(clients))
	assert.Equal(t, budget.Held(), int64(0))
}

// Guards against messages over the maximum, also those that are only so when decompressed.
func TestCallOverMaximumIsRefused(t *testing.T) {
	c, clients := newCaller(t, newBudget(64*mib), mib)
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			_, err := client.SubmitJob(t.Context(), submission(mib+1))
			assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted, "%v", err)
		})
	}
	assert.Equal(t, c.calls, 0)
}

// heapBytes returns the memory that a message takes once it is decoded.
func heapBytes(t *testing.T, decode func(proto.Message) error) int64 {
	var before, after runtime.MemStats
	m := &apiv1.HeartbeatRequest{}
	assert.NilError(t, decode(&apiv1.HeartbeatRequest{})) // so that what is allocated once doesn't count
	runtime.GC()
	runtime.ReadMemStats(&before)
	assert.NilError(t, decode(m))
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(m)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// Guards against an estimate below what a decoded message takes, with which messages of many small
// elements exhaust the memory.
func TestEstimateIsNotBelowDecodedSize(t *testing.T) {
	const n = 20_000
	empty := &apiv1.HeartbeatRequest{}
	nested := &apiv1.HeartbeatRequest{}
	numbers := &apiv1.HeartbeatRequest{}
	for i := range n {
		empty.Ended = append(empty.Ended, &apiv1.EndedAttempt{})
		nested.Attempts = append(nested.Attempts, &apiv1.RunningAttempt{Size: &apiv1.Resources{}, Usage: &apiv1.Resources{}})
		numbers.Running = append(numbers.Running, uint64(i%100))
	}
	for name, m := range map[string]proto.Message{"empty": empty, "nested": nested, "numbers": numbers} {
		t.Run(name, func(t *testing.T) {
			data, err := proto.Marshal(m)
			assert.NilError(t, err)
			r := httptest.NewRequest(http.MethodPost, "/laburnumgrade.api.v1.TargetService/Heartbeat", nil)
			r.Header.Set("Content-Type", "application/proto")
			decoded := heapBytes(t, func(m proto.Message) error { return proto.Unmarshal(data, m) })
			assert.Assert(t, decodedBytes(r, data) >= decoded, "%d of %d", decodedBytes(r, data), decoded)
			text, err := protojson.Marshal(m)
			assert.NilError(t, err)
			r.Header.Set("Content-Type", "application/json; charset=utf-8")
			decoded = heapBytes(t, func(m proto.Message) error { return protojson.Unmarshal(text, m) })
			assert.Assert(t, decodedBytes(r, text) >= decoded, "JSON: %d of %d", decodedBytes(r, text), decoded)
		})
	}
}

// Guards against ordinary messages that are charged with many times their size.
func TestEstimateOfOrdinaryMessages(t *testing.T) {
	m := &apiv1.SubmitJobRequest{JobId: strings.Repeat("x", 36), Team: "team", Service: "service", Payload: bytes.Repeat([]byte(`,{`), 8000)}
	data, err := proto.Marshal(m)
	assert.NilError(t, err)
	r := httptest.NewRequest(http.MethodPost, "/laburnumgrade.api.v1.CallerService/SubmitJob", nil)
	r.Header.Set("Content-Type", "application/proto")
	assert.Assert(t, decodedBytes(r, data) < int64(len(data)+1000), "%d", decodedBytes(r, data))
	text, err := protojson.Marshal(m)
	assert.NilError(t, err)
	r.Header.Set("Content-Type", "application/json")
	assert.Assert(t, decodedBytes(r, text) < int64(len(text)+1000), "%d", decodedBytes(r, text))
}

// Guards against the snapshot of a group that is larger than the budget and is refused, so that a
// replica never takes part again, and against other bodies that pass in the same way.
func TestSnapshotsBeyondBudgetAreReceived(t *testing.T) {
	received := 0
	next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		received = len(data)
	})
	const raft = peerv1.RaftServicePathPrefix
	server := httptest.NewServer(charged(newBudget(mib), Twirp(next, Snapshots{Path: raft, Above: mib / 4, Most: 4 * mib})))
	t.Cleanup(server.Close)
	snapshot := func(length int) []byte {
		data, err := proto.Marshal(&peerv1.RaftBatch{Messages: []*peerv1.RaftMessage{{Entries: []*peerv1.RaftEntry{{Data: make([]byte, length)}}}}})
		assert.NilError(t, err)
		return data
	}
	empty := &peerv1.RaftBatch{}
	for range mib / 4 {
		empty.Messages = append(empty.Messages, &peerv1.RaftMessage{})
	}
	manyEmpty, err := proto.Marshal(empty)
	assert.NilError(t, err)
	for _, test := range []struct {
		name, path string
		body       []byte
		status     int
	}{
		{"snapshot", raft + "Deliver", snapshot(3 * mib), http.StatusOK},
		{"small message", raft + "Deliver", snapshot(1000), http.StatusOK},
		{"over the maximum", raft + "Deliver", snapshot(4 * mib), http.StatusServiceUnavailable},
		{"many empty messages", raft + "Deliver", manyEmpty, http.StatusBadRequest},
		{"other path", "/twirp/laburnumgrade.peer.v1.FleetService/Propose", snapshot(3 * mib), http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			received = -1
			response, err := http.Post(server.URL+test.path, "application/protobuf", bytes.NewReader(test.body))
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, test.status)
			if test.status == http.StatusOK {
				assert.Equal(t, received, len(test.body))
			} else {
				assert.Equal(t, received, -1)
				text, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(string(text), "not run"), string(text))
			}
		})
	}
}

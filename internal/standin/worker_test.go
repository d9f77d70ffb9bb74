package standin

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/structs"
)

// targetServer passes heartbeats to the test, which provides the replies.
type targetServer struct {
	apiv1connect.UnimplementedTargetServiceHandler
	heartbeats chan exchange
}

// exchange is a heartbeat and the channel for its reply.
type exchange struct {
	request *apiv1.HeartbeatRequest
	reply   chan *apiv1.HeartbeatResponse
}

func (s *targetServer) Heartbeat(ctx context.Context, r *connect.Request[apiv1.HeartbeatRequest]) (*connect.Response[apiv1.HeartbeatResponse], error) {
	e := exchange{r.Msg, make(chan *apiv1.HeartbeatResponse, 1)}
	select {
	case s.heartbeats <- e:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case reply := <-e.reply:
		return connect.NewResponse(reply), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const testLeaseMs = 60_000

// TestWorkerHeartbeats guards against an end of a task that is reported only after
// the held heartbeat, and against a worker that does not send a full heartbeat when
// the server requests one.
func TestWorkerHeartbeats(t *testing.T) {
	s := &targetServer{heartbeats: make(chan exchange)}
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewTargetServiceHandler(s))
	server := httptest.NewServer(mux)
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := NewWorker(WorkerConfig{
		ID: "w", Capacity: structs.Resources{MilliCPU: 1000}, Entries: []string{server.Listener.Addr().String()},
		Client: NewClient(&Traffic{}), Records: NewRecords(), Logger: slog.New(slog.DiscardHandler),
	})
	go w.Run(ctx)
	size := structs.Resources{MilliCPU: 10}.Proto()
	first := <-s.heartbeats
	assert.Equal(t, first.request.FullSequence, uint64(0))
	first.reply <- &apiv1.HeartbeatResponse{LeaseMs: testLeaseMs, Start: []*apiv1.Assignment{
		{AttemptId: 1, JobId: "short", Size: size, Payload: []byte(`{"run_ms":1}`)},
		{AttemptId: 2, JobId: "long", Size: size, Payload: []byte(`{"run_ms":600000}`)},
	}}
	// The next heartbeat is held until the end of the short task was reported.
	var held exchange
	for report := range s.heartbeats {
		if report.request.WaitMs > 0 {
			held = report
			assert.Equal(t, held.request.FullSequence, first.request.Sequence)
			continue
		}
		assert.Equal(t, len(report.request.Ended), 1)
		assert.Equal(t, report.request.Ended[0].AttemptId, uint64(1))
		report.reply <- &apiv1.HeartbeatResponse{LeaseMs: testLeaseMs, Acknowledged: []uint64{1}}
		break
	}
	if held.reply == nil {
		held = <-s.heartbeats
	}
	held.reply <- &apiv1.HeartbeatResponse{SendFull: true}
	full := <-s.heartbeats
	assert.Equal(t, full.request.FullSequence, uint64(0))
	assert.DeepEqual(t, full.request.Running, []uint64{2})
}

// TestUsageLag guards against usage that is reported before UsageLag has passed, or
// that a throttle does not reduce.
func TestUsageLag(t *testing.T) {
	started := time.Unix(1000, 0)
	b := &Behaviour{SizeFactor: 2, UsageLag: 5 * time.Second}
	tk := &task{size: structs.Resources{MilliCPU: 100}, started: started}
	assert.Assert(t, tk.usage(b, started.Add(4*time.Second)) == nil)
	assert.Equal(t, tk.usage(b, started.Add(6*time.Second)).MilliCpu, int64(200))
	tk.throttledSince = started.Add(10 * time.Second)
	assert.Equal(t, tk.usage(b, started.Add(14*time.Second)).MilliCpu, int64(200))
	assert.Equal(t, tk.usage(b, started.Add(16*time.Second)).MilliCpu, int64(100))
}

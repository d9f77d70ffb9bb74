package control

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/follower"
)

// fakeFleet grants configuration leases under a fixed configuration.
type fakeFleet struct {
	peerv1.FleetService
	state *statev1.FleetState
}

func (f *fakeFleet) RenewConfig(context.Context, *peerv1.RenewConfigRequest) (*peerv1.RenewConfigResponse, error) {
	return &peerv1.RenewConfigResponse{LeaseMs: time.Second.Milliseconds(), Index: f.state.Index, Full: f.state}, nil
}

func (f *fakeFleet) GetChange(context.Context, *apiv1.GetChangeRequest) (*apiv1.Change, error) {
	return nil, nil
}

// holdConfigLease makes the leader hold a configuration lease under the state.
func (l *testLeader) holdConfigLease(t *testing.T, state *statev1.FleetState) {
	server := httptest.NewServer(peerv1.NewFleetServiceServer(&fakeFleet{state: state}))
	defer server.Close()
	l.server.follower = follower.New(follower.Config{
		Holder: "c", DataCentre: "x", Clock: l.clock, Logger: slog.New(slog.DiscardHandler),
		FleetPeers: peer.NewGroupClient("fleet", http.DefaultClient, []string{strings.TrimPrefix(server.URL, "http://")}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.server.follower.Run(ctx); close(done) }()
	for !l.server.follower.LeaseValid(0) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

// TestLeaderChecksKeyAgain guards against work that is accepted under a key that was
// withdrawn while the entry that had verified it was paused, or under a configuration
// lease that the leader no longer holds.
func TestLeaderChecksKeyAgain(t *testing.T) {
	tests := []struct {
		name, key, service string
		lapse              time.Duration
		refusal            string
	}{
		{"valid", "good", "s", 0, ""},
		{"withdrawn", "gone", "s", 0, "does not allow work"},
		{"other team", "other", "s", 0, "does not allow work"},
		{"unknown", "none", "s", 0, "does not allow work"},
		{"lease lapsed", "good", "s", 2 * time.Second, "no valid configuration lease"},
		{"lease lapsed within the grace", "good", "graced", 2 * time.Second, ""},
		{"lease lapsed beyond the grace", "good", "graced", 7 * time.Second, "no valid configuration lease"},
		{"open queue", "", "open", 7 * time.Second, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeader(t)
			l.holdConfigLease(t, &statev1.FleetState{
				Index: 5,
				Keys: []*statev1.Key{
					{KeyId: "good", Team: "a"}, {KeyId: "gone", Team: "a", Withdrawn: true}, {KeyId: "other", Team: "b"},
				},
				Documents: []*statev1.Document{
					{Team: "a", Service: "s", Spec: &statev1.WorkSpec{}},
					{Team: "a", Service: "graced", Spec: &statev1.WorkSpec{}, CutGraceMs: 5000},
					{Team: "a", Service: "open", Spec: &statev1.WorkSpec{OpenQueue: true}},
				},
			})
			l.advance(test.lapse)
			spec := batchSpec("a", cores(1))
			spec.Service = test.service
			job, err := l.dc.SubmitJob(l.ctx(), &peerv1.SubmitJobCommand{
				DataCentre: "x", KeyId: test.key, Job: &statev1.SubmitJob{JobId: l.jobID(1), Spec: spec.Proto()},
			})
			assert.NilError(t, err)
			request, err := l.dc.RecordRequest(l.ctx(), &peerv1.RecordRequestRequest{
				DataCentre: "x", KeyId: test.key, Record: &statev1.RecordRequest{RequestId: l.jobID(2), Team: "a", Service: test.service, Owner: "e"},
			})
			assert.NilError(t, err)
			if test.refusal == "" {
				assert.Equal(t, job.Refusal+request.Refusal, "")
				return
			}
			assert.Assert(t, strings.Contains(job.Refusal, test.refusal), job.Refusal)
			assert.Assert(t, strings.Contains(request.Refusal, test.refusal), request.Refusal)
		})
	}
}

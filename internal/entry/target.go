package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
)

// targetService serves targets of the entry's own data centre.
type targetService struct{ *Server }

const (
	// maxHold bounds the time a heartbeat is held.
	maxHold = time.Second
	// announceLimit bounds how late an announcement may reach the leader, which
	// counts its validity from then: an instance that has fallen silent in the
	// meantime must get no new work 3 s later.
	announceLimit = 400 * time.Millisecond
)

// Heartbeat passes a worker's heartbeat to its data centre's leader. It is not
// retried once a process may have received it: the worker asks again.
func (s *targetService) Heartbeat(ctx context.Context, r *connect.Request[apiv1.HeartbeatRequest]) (*connect.Response[apiv1.HeartbeatResponse], error) {
	group, err := s.ownGroup(r.Msg.DataCentre)
	if err != nil {
		return nil, err
	}
	r.Msg.WaitMs = min(r.Msg.WaitMs, maxHold.Milliseconds())
	if s.draining.Load() {
		// The worker is answered at once and asks another entry next.
		r.Msg.WaitMs = 0
	}
	ctx, cancel := context.WithTimeout(ctx, maxHold+controlTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, group, func(ctx context.Context, c *http.Client, url string) (*apiv1.HeartbeatResponse, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).Heartbeat(ctx, r.Msg)
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(reply), nil
}

// Announce passes an instance's announcement to its data centre's leader.
func (s *targetService) Announce(ctx context.Context, r *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	group, err := s.ownGroup(r.Msg.DataCentre)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	reply, err := peer.Call(ctx, group, func(ctx context.Context, c *http.Client, url string) (*apiv1.AnnounceResponse, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).Announce(ctx, r.Msg)
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(reply), nil
}

func (s *targetService) ownGroup(dataCentre string) (*peer.GroupClient, error) {
	g := s.groups[dataCentre]
	if g == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("data centre %q is not known", dataCentre))
	}
	return g, nil
}

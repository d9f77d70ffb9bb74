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

// targetService serves requests of workers and instances. It passes them to the
// leader of the data centre that the request names.
type targetService struct{ *Server }

const (
	// maxHeartbeatWait limits how long the answer to a heartbeat may be delayed.
	maxHeartbeatWait = time.Second
	// announceTimeout limits how late an announcement may reach the leader, which
	// counts its validity from then. Otherwise a late announcement could let an
	// instance get new calls more than 3 s after it stopped announcing itself.
	announceTimeout = 400 * time.Millisecond
)

// Heartbeat passes a worker's heartbeat to its data centre's leader. It is not
// retried once a process may have received it, since the worker sends another one.
func (s *targetService) Heartbeat(ctx context.Context, r *connect.Request[apiv1.HeartbeatRequest]) (*connect.Response[apiv1.HeartbeatResponse], error) {
	group, err := s.ownGroup(r.Msg.DataCentre)
	if err != nil {
		return nil, err
	}
	r.Msg.WaitMs = min(r.Msg.WaitMs, maxHeartbeatWait.Milliseconds())
	if s.draining.Load() {
		// Answer at once, so that the worker turns to another entry.
		r.Msg.WaitMs = 0
	}
	ctx, cancel := context.WithTimeout(ctx, maxHeartbeatWait+controlTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, group, func(ctx context.Context, c *http.Client, url string) (*apiv1.AnnounceResponse, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).Announce(ctx, r.Msg)
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(reply), nil
}

// ownGroup returns the group of the data centre, or an error if there is none.
func (s *targetService) ownGroup(dataCentre string) (*peer.GroupClient, error) {
	g := s.dataCentreGroups[dataCentre]
	if g == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("data centre %q is not known", dataCentre))
	}
	return g, nil
}

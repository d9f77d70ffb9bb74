package entry

import (
	"context"
	"net/http"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
)

const (
	// instancesInterval is the usual interval between listings of the instances.
	instancesInterval = 400 * time.Millisecond
	// releaseInterval is the interval while the leader asks for slots to be released or the
	// entry drains, so that other entries get the slots sooner.
	releaseInterval  = 50 * time.Millisecond
	instancesTimeout = time.Second
)

// pollInstances lists the instances of one data centre until the context ends. In
// the entry's own data centre each listing also renews the entry's slot leases and
// reports the slots that it has released.
func (s *Server) pollInstances(ctx context.Context, dataCentre string) {
	for {
		s.listInstances(ctx, dataCentre)
		timer := time.NewTimer(s.listInterval(dataCentre))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.relistSignal(dataCentre):
			timer.Stop()
		}
	}
}

// listInterval returns the time until the next listing.
func (s *Server) listInterval(dataCentre string) time.Duration {
	if dataCentre != s.dataCentre {
		return instancesInterval
	}
	if held, releasing := s.routes.HeldInstances(); releasing > 0 || (held > 0 && s.draining.Load()) {
		return releaseInterval
	}
	return instancesInterval
}

// relistSignal returns the channel that triggers a listing early; nil for other data
// centres than the entry's own.
func (s *Server) relistSignal(dataCentre string) <-chan struct{} {
	if dataCentre != s.dataCentre {
		return nil
	}
	return s.relistRequested
}

// listInstances lists the instances of a data centre once and updates the routing
// table.
func (s *Server) listInstances(ctx context.Context, dataCentre string) {
	ctx, cancel := context.WithTimeout(ctx, instancesTimeout)
	defer cancel()
	request := &peerv1.ListInstancesRequest{DataCentre: dataCentre, Entry: s.name}
	if dataCentre == s.dataCentre {
		request.EntryAddress = s.peerAddress
		request.Draining = s.draining.Load()
		request.Released = s.routes.CompletedReleases()
	}
	var requestedAt time.Duration
	reply, err := peer.Call(ctx, s.dataCentreGroups[dataCentre], func(ctx context.Context, c *http.Client, url string) (*peerv1.ListInstancesResponse, error) {
		requestedAt = s.clock.Now()
		return peerv1.NewDataCentreServiceProtobufClient(url, c).ListInstances(ctx, request)
	})
	if err != nil {
		s.logger.Warn("instances not listed", "step", "list instances", "peer", dataCentre, "error", err)
		return
	}
	s.routes.Update(dataCentre, reply.Instances, requestedAt, time.Duration(reply.LeaseMs)*time.Millisecond, s.clock.Now())
}

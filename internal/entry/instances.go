package entry

import (
	"context"
	"net/http"
	"time"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
)

const (
	instancesInterval = 400 * time.Millisecond
	// releaseInterval is the interval while the leader asks for slots or the
	// entry shuts down, so that the slots are soon with another entry.
	releaseInterval  = 50 * time.Millisecond
	instancesTimeout = time.Second
)

// followInstances keeps the instances of one data centre current, and renews
// this entry's slot leases if it is the entry's own data centre.
func (s *Server) followInstances(ctx context.Context, dataCentre string) {
	for {
		s.listInstances(ctx, dataCentre)
		timer := time.NewTimer(s.listInterval(dataCentre))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.wakeList(dataCentre):
			timer.Stop()
		}
	}
}

func (s *Server) listInterval(dataCentre string) time.Duration {
	if dataCentre != s.dataCentre {
		return instancesInterval
	}
	if held, asked := s.routes.HeldInstances(); asked > 0 || (held > 0 && s.draining.Load()) {
		return releaseInterval
	}
	return instancesInterval
}

func (s *Server) wakeList(dataCentre string) <-chan struct{} {
	if dataCentre != s.dataCentre {
		return nil
	}
	return s.relist
}

func (s *Server) listInstances(ctx context.Context, dataCentre string) {
	ctx, cancel := context.WithTimeout(ctx, instancesTimeout)
	defer cancel()
	request := &peerv1.ListInstancesRequest{DataCentre: dataCentre, Entry: s.name}
	if dataCentre == s.dataCentre {
		request.EntryAddress = s.peerAddress
		request.Draining = s.draining.Load()
		request.Released = s.routes.CompletedReleases()
	}
	var asked time.Duration
	reply, err := peer.Call(ctx, s.groups[dataCentre], func(ctx context.Context, c *http.Client, url string) (*peerv1.ListInstancesResponse, error) {
		asked = s.clock.Now()
		return peerv1.NewDataCentreServiceProtobufClient(url, c).ListInstances(ctx, request)
	})
	if err != nil {
		s.logger.Warn("instances not listed", "step", "list instances", "peer", dataCentre, "error", err)
		return
	}
	s.routes.Update(dataCentre, reply.Instances, asked, time.Duration(reply.LeaseMs)*time.Millisecond, s.clock.Now())
}

package standin

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/adapter/httpserver"
)

const (
	// announceInterval is the pause between two announcements of an instance.
	announceInterval = 500 * time.Millisecond
	// announceTimeout bounds the time for one announcement.
	announceTimeout = 1500 * time.Millisecond
	// minCompressBytes is the size from which answers are compressed.
	minCompressBytes = 16 << 10
)

// InstanceConfig configures an emulated instance.
type InstanceConfig struct {
	ID         string
	DataCentre string
	Team       string
	Service    string
	// Listen is the address that the instance serves on. With port 0 the operating
	// system assigns a free port.
	Listen string
	// Slots is the number of calls that the instance may serve at once, Connections
	// the number of connections that it accepts.
	Slots       int
	Connections int
	Behaviour   Behaviour
	// Seed is the seed of the random choice of lost answers.
	Seed uint64
	// Entries are the addresses to which the instance announces itself in turn.
	Entries []string
	Client  *http.Client
	Records *Records
	Logger  *slog.Logger
}

// Instance is an emulated instance of a service.
type Instance struct {
	config      InstanceConfig
	incarnation uint64
	server      *httpserver.Server
	random      *randomSource
	inUse       atomic.Int64
	leaving     atomic.Bool
}

// NewInstance returns an instance that serves calls. Run announces it.
func NewInstance(c InstanceConfig) (*Instance, error) {
	in := &Instance{config: c, incarnation: uint64(time.Now().UnixNano()), random: newRandomSource(c.Seed)}
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewInstanceServiceHandler(in, connect.WithCompressMinBytes(minCompressBytes)))
	server, err := httpserver.Start(c.Listen, mux)
	if err != nil {
		return nil, err
	}
	in.server = server
	return in, nil
}

// leavingServingTime is how long a leaving instance continues to serve, because
// entries may send it calls until its announcement has reached them.
const leavingServingTime = 3 * time.Second

// drain continues to serve for leavingServingTime, then finishes the calls in flight
// and closes the server. It returns at once when abort is closed.
func (in *Instance) drain(abort <-chan struct{}) {
	select {
	case <-time.After(leavingServingTime):
	case <-abort:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = in.server.Shutdown(ctx)
}

// Address returns the address that the instance serves on.
func (in *Instance) Address() string { return in.server.Address() }

// Leave makes the following announcements state that the instance takes no new work.
func (in *Instance) Leave() { in.leaving.Store(true) }

// Run announces the instance to the entries until the context ends.
func (in *Instance) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if err := in.announce(ctx, n); err != nil {
			in.config.Logger.Debug("announcement failed", "instance", in.config.ID, "error", err)
		}
		sleep(ctx, announceInterval)
	}
}

// announce sends announcement number n to one of the entries.
func (in *Instance) announce(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	client := apiv1connect.NewTargetServiceClient(in.config.Client, "http://"+in.config.Entries[n%len(in.config.Entries)])
	_, err := client.Announce(ctx, connect.NewRequest(&apiv1.AnnounceRequest{
		InstanceId: in.config.ID, Incarnation: in.incarnation, DataCentre: in.config.DataCentre, Team: in.config.Team, Service: in.config.Service,
		Address: in.server.Address(), Slots: int32(in.config.Slots), Connections: int32(in.config.Connections), Leaving: in.leaving.Load(),
	}))
	return err
}

// Invoke implements InstanceService. It answers with the body of the request, after
// the run time that the body sets.
func (in *Instance) Invoke(ctx context.Context, r *connect.Request[apiv1.InvokeRequest]) (*connect.Response[apiv1.InvokeResponse], error) {
	m := r.Msg
	run := in.config.Records.startCall(Run{
		ID: m.RequestId, Attempt: uint64(m.Attempt), Target: in.config.ID, Team: in.config.Team, Service: in.config.Service,
	}, int(in.inUse.Add(1)), in.config.Slots)
	work := parseWork(m.Body)
	time.Sleep(in.config.Behaviour.runTime(work))
	in.inUse.Add(-1)
	in.config.Records.endCall(run)
	if in.random.chance(in.config.Behaviour.LoseReplies) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the emulated reply was lost"))
	}
	sleep(ctx, in.config.Behaviour.DelayReplies)
	reply := &apiv1.InvokeResponse{
		RequestId: m.RequestId, Attempt: m.Attempt, Body: m.Body, Length: int64(len(m.Body)),
		Digest: xxhash.Sum64(m.Body), Outcome: apiv1.Outcome_OUTCOME_OK,
	}
	if work.Fail || in.config.Behaviour.FailAll {
		reply.Outcome = apiv1.Outcome_OUTCOME_FAILED
		reply.Detail = "the emulated call failed"
	}
	return connect.NewResponse(reply), nil
}

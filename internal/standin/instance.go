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
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 1500 * time.Millisecond
	// compressFrom is the size in bytes from which answers are compressed.
	compressFrom = 16 << 10
)

// InstanceConfig configures an emulated instance.
type InstanceConfig struct {
	ID         string
	DataCentre string
	Team       string
	Service    string
	// Listen is the address that the instance serves on, with port 0 for any.
	Listen      string
	Slots       int
	Connections int
	Behaviour   Behaviour
	Seed        uint64
	Entries     []string
	Client      *http.Client
	Records     *Records
	Logger      *slog.Logger
}

// Instance is an emulated instance of a service.
type Instance struct {
	c           InstanceConfig
	incarnation uint64
	server      *httpserver.Server
	random      *source
	inUse       atomic.Int64
	leaving     atomic.Bool
}

// NewInstance returns an instance that listens.
func NewInstance(c InstanceConfig) (*Instance, error) {
	in := &Instance{c: c, incarnation: uint64(time.Now().UnixNano()), random: newSource(c.Seed)}
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewInstanceServiceHandler(in, connect.WithCompressMinBytes(compressFrom)))
	server, err := httpserver.Start(c.Listen, mux)
	if err != nil {
		return nil, err
	}
	in.server = server
	return in, nil
}

// leaveTime is how long a leaving instance goes on serving, since entries may
// send it calls until they hear of it.
const leaveTime = 3 * time.Second

// drain serves on while entries may send calls, finishes the calls in progress,
// and closes the server. It ends at once when abort is closed.
func (in *Instance) drain(abort <-chan struct{}) {
	select {
	case <-time.After(leaveTime):
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

// Leave announces that the instance takes no new work.
func (in *Instance) Leave() { in.leaving.Store(true) }

// Run announces the instance until the context ends.
func (in *Instance) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if err := in.announce(ctx, n); err != nil {
			in.c.Logger.Debug("announcement failed", "instance", in.c.ID, "error", err)
		}
		sleep(ctx, announceInterval)
	}
}

func (in *Instance) announce(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	client := apiv1connect.NewTargetServiceClient(in.c.Client, "http://"+in.c.Entries[n%len(in.c.Entries)])
	_, err := client.Announce(ctx, connect.NewRequest(&apiv1.AnnounceRequest{
		InstanceId: in.c.ID, Incarnation: in.incarnation, DataCentre: in.c.DataCentre, Team: in.c.Team, Service: in.c.Service,
		Address: in.server.Address(), Slots: int32(in.c.Slots), Connections: int32(in.c.Connections), Leaving: in.leaving.Load(),
	}))
	return err
}

// Invoke serves one call: it answers with the body it received.
func (in *Instance) Invoke(ctx context.Context, r *connect.Request[apiv1.InvokeRequest]) (*connect.Response[apiv1.InvokeResponse], error) {
	m := r.Msg
	run := in.c.Records.startCall(Run{
		ID: m.RequestId, Attempt: uint64(m.Attempt), Target: in.c.ID, Team: in.c.Team, Service: in.c.Service,
	}, int(in.inUse.Add(1)), in.c.Slots)
	work := parseWork(m.Body)
	time.Sleep(in.c.Behaviour.runTime(work))
	in.inUse.Add(-1)
	in.c.Records.endCall(run)
	if in.random.chance(in.c.Behaviour.LoseReplies) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the emulated reply was lost"))
	}
	sleep(ctx, in.c.Behaviour.DelayReplies)
	reply := &apiv1.InvokeResponse{
		RequestId: m.RequestId, Attempt: m.Attempt, Body: m.Body, Length: int64(len(m.Body)),
		Digest: xxhash.Sum64(m.Body), Outcome: apiv1.Outcome_OUTCOME_OK,
	}
	if work.Fail || in.c.Behaviour.FailAll {
		reply.Outcome = apiv1.Outcome_OUTCOME_FAILED
		reply.Detail = "the emulated call failed"
	}
	return connect.NewResponse(reply), nil
}

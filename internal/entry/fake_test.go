package entry

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/fleet"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// fakeControl is a control process that keeps the state of a data centre group in a
// real state.Store, without replication.
type fakeControl struct {
	peerv1.DataCentreService
	peerv1.FleetService
	*faultInjector
	server *httptest.Server

	mu        sync.Mutex
	index     uint64
	store     *state.Store
	instances []*peerv1.Instance
	fleet     *statev1.FleetState
	// configuration holds what Propose changes.
	configuration *fleet.Store
	otherLeader   string
	released      []uint64
	lists         []*peerv1.ListInstancesRequest
	hold          chan struct{}
	releaseOnce   sync.Once
	// newRecordRefusal is the reason for refusing requests without a record; empty records
	// them.
	newRecordRefusal string
	// cancelled, if not nil, is called after a job was cancelled.
	cancelled func()
	// jobsForgotten makes the process answer that it knows no job.
	jobsForgotten bool
}

// refuseNewRecords makes the process refuse requests that have no record, as a leader does
// under another configuration; empty ends this.
func (c *fakeControl) refuseNewRecords(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newRecordRefusal = reason
}

// releaseHold lets the delayed heartbeats be answered. It also runs at the end of the
// test.
func (c *fakeControl) releaseHold() { c.releaseOnce.Do(func() { close(c.hold) }) }

type noopObserver struct{}

func (noopObserver) Reset()               {}
func (noopObserver) WorkerChanged(string) {}
func (noopObserver) JobChanged(string)    {}
func (noopObserver) InstancesChanged()    {}

func newFakeControl(t *testing.T) *fakeControl {
	c := &fakeControl{faultInjector: newFaultInjector(), store: state.New(noopObserver{}), configuration: fleet.New(), hold: make(chan struct{})}
	c.fleet = &statev1.FleetState{Index: 1}
	mux := http.NewServeMux()
	dc, fleet := peerv1.NewDataCentreServiceServer(c), peerv1.NewFleetServiceServer(c)
	mux.Handle(dc.PathPrefix(), dc)
	mux.Handle(fleet.PathPrefix(), fleet)
	c.server = httptest.NewServer(c.handler(mux))
	t.Cleanup(c.server.Close)
	t.Cleanup(c.releaseHold)
	t.Cleanup(c.releaseLate)
	c.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_AdvanceTime{AdvanceTime: &statev1.AdvanceTime{UnixMs: time.Now().UnixMilli()}}})
	return c
}

func (c *fakeControl) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *fakeControl) apply(command *statev1.DataCentreCommand) *state.Result {
	b, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	return c.store.Apply(c.index, b).(*state.Result)
}

// setLeader makes the process refer clients to another leader; empty makes it the
// leader itself.
func (c *fakeControl) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.otherLeader = address
}

// checkLeader returns an error if another process leads.
func (c *fakeControl) checkLeader() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.otherLeader == "" {
		return nil
	}
	return peer.NotLeader(&port.NotLeaderError{Group: "x", Address: c.otherLeader})
}

func (c *fakeControl) RecordRequest(_ context.Context, r *peerv1.RecordRequestRequest) (*peerv1.RecordRequestReply, error) {
	if err := c.checkLeader(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	refusal := c.newRecordRefusal
	c.mu.Unlock()
	if _, known := c.store.Request(r.Record.RequestId); !known && refusal != "" {
		return &peerv1.RecordRequestReply{Refusal: refusal}, nil
	}
	result := c.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_RecordRequest{RecordRequest: r.Record}})
	reply := &peerv1.RecordRequestReply{Granted: result.Granted, Refusal: result.Refusal}
	if q := result.Request; q != nil {
		reply.Pending = q.Outcome == structs.OutcomeNone
		reply.Answer = &apiv1.CallResponse{RequestId: q.ID, Outcome: apiv1.Outcome(q.Outcome), Body: q.Body, Detail: q.Detail}
	}
	return reply, nil
}

func (c *fakeControl) EndRequest(_ context.Context, r *peerv1.EndRequestRequest) (*peerv1.RecordRequestReply, error) {
	if err := c.checkLeader(); err != nil {
		return nil, err
	}
	result := c.apply(&statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_EndRequest{EndRequest: r.End}})
	return &peerv1.RecordRequestReply{Refusal: result.Refusal}, nil
}

func (c *fakeControl) ListInstances(_ context.Context, r *peerv1.ListInstancesRequest) (*peerv1.ListInstancesResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, r)
	reply := &peerv1.ListInstancesResponse{LeaseMs: 3000}
	for _, in := range c.instances {
		m := proto.Clone(in).(*peerv1.Instance)
		if in.Entry == r.Entry && r.Draining {
			m.Release = 5
			if len(r.Released) > 0 {
				c.released = r.Released
				in.Entry = ""
				continue
			}
		}
		reply.Instances = append(reply.Instances, m)
	}
	return reply, nil
}

func (c *fakeControl) Heartbeat(ctx context.Context, _ *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	select {
	case <-c.hold:
		return &apiv1.HeartbeatResponse{LeaseMs: 4000, Sequence: 77}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *fakeControl) RenewConfig(_ context.Context, r *peerv1.RenewConfigRequest) (*peerv1.RenewConfigResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &peerv1.RenewConfigResponse{LeaseMs: 1500, Index: c.fleet.Index}
	if r.AppliedIndex < c.fleet.Index {
		reply.Full = proto.Clone(c.fleet).(*statev1.FleetState)
	}
	return reply, nil
}

// GetChange is a method of both embedded services, so that it must be defined here.
func (c *fakeControl) GetChange(context.Context, *apiv1.GetChangeRequest) (*apiv1.Change, error) {
	return &apiv1.Change{}, nil
}

const (
	testKey         = "lg_0011_secret"
	testOperatorKey = "operator"
)

// putDocument adds a document for a service of team t, and the team's key.
func (c *fakeControl) putDocument(service string, change func(*statev1.WorkSpec)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec := &statev1.WorkSpec{Team: "t", Service: service}
	change(spec)
	hash := sha256.Sum256([]byte(testKey))
	c.fleet.Index++
	c.fleet.Documents = append(c.fleet.Documents, &statev1.Document{Team: "t", Service: service, Spec: spec, Share: 1})
	c.fleet.Keys = []*statev1.Key{{KeyId: "0011", Team: "t", Hash: hash[:]}}
}

func (c *fakeControl) withdrawKey() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.Index++
	c.fleet.Keys[0].Withdrawn = true
}

// fakeInstance answers each call with the body of the call.
type fakeInstance struct {
	*faultInjector
	t      *testing.T
	id     string
	server *httptest.Server
	// answer modifies the correct answer; nil leaves it as it is.
	answer func(*apiv1.InvokeResponse)
	// hold, if not nil, delays the answers until releaseHold closes it.
	hold        chan struct{}
	releaseOnce sync.Once

	mu   sync.Mutex
	runs map[string]int
}

// releaseHold lets the delayed calls be answered. It also runs at the end of the test.
func (in *fakeInstance) releaseHold() {
	in.releaseOnce.Do(func() {
		if in.hold != nil {
			close(in.hold)
		}
	})
}

func newFakeInstance(t *testing.T, id string) *fakeInstance {
	in := &fakeInstance{faultInjector: newFaultInjector(), t: t, id: id, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewInstanceServiceHandler(in))
	in.server = httptest.NewServer(in.handler(mux))
	t.Cleanup(in.server.Close)
	t.Cleanup(in.releaseHold)
	return in
}

// stopListening closes the server and keeps its port bound, so that no other process, such as
// another run of these tests, listens on it and answers the calls.
func (in *fakeInstance) stopListening() {
	address := in.server.Listener.Addr().(*net.TCPAddr)
	in.server.Close()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(in.t, err)
	in.t.Cleanup(func() { _ = unix.Close(fd) })
	// Closed connections may still occupy the port; with SO_REUSEADDR set only while the
	// socket is bound, another process cannot share it.
	assert.NilError(in.t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1))
	assert.NilError(in.t, unix.Bind(fd, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}))
	assert.NilError(in.t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0))
}

func (in *fakeInstance) Invoke(_ context.Context, r *connect.Request[apiv1.InvokeRequest]) (*connect.Response[apiv1.InvokeResponse], error) {
	m := r.Msg
	in.mu.Lock()
	in.runs[m.RequestId]++
	in.mu.Unlock()
	if in.hold != nil {
		<-in.hold
	}
	reply := &apiv1.InvokeResponse{
		RequestId: m.RequestId, Attempt: m.Attempt, Body: m.Body, Length: int64(len(m.Body)), Digest: xxhash.Sum64(m.Body), Outcome: apiv1.Outcome_OUTCOME_OK,
	}
	if in.answer != nil {
		in.answer(reply)
	}
	return connect.NewResponse(reply), nil
}

func (in *fakeInstance) ran(id string) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.runs[id]
}

package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// fate is what happens to a message.
type fate int

const (
	passes fate = iota
	// lostBefore is lost before the receiver acts on it, lostAfter afterwards.
	lostBefore
	lostAfter
	// hangs is never answered.
	hangs
)

// fates holds the fates of the next messages by the last part of their path.
type fates struct {
	mu   sync.Mutex
	next map[string][]fate
	seen map[string]int
}

func newFates() *fates { return &fates{next: map[string][]fate{}, seen: map[string]int{}} }

func (f *fates) set(method string, list ...fate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next[method] = list
}

func (f *fates) count(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[method]
}

func (f *fates) take(path string) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	method := path[strings.LastIndex(path, "/")+1:]
	f.seen[method]++
	list := f.next[method]
	if len(list) == 0 {
		return passes
	}
	if len(list) > 1 {
		f.next[method] = list[1:]
	}
	return list[0]
}

// handler loses messages as their fates say. The last fate set lasts.
func (f *fates) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch f.take(r.URL.Path) {
		case lostBefore:
			panic(http.ErrAbortHandler)
		case hangs:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case lostAfter:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// fakeControl is a control process with the real state of a data centre group.
type fakeControl struct {
	peerv1.DataCentreService
	peerv1.FleetService
	*fates
	server *httptest.Server

	mu         sync.Mutex
	index      uint64
	store      *state.Store
	instances  []*peerv1.Instance
	fleet      *statev1.FleetState
	leaderless string
	released   []uint64
	lists      []*peerv1.ListInstancesRequest
	hold       chan struct{}
	holding    sync.Once
}

// letGo ends the hold of heartbeats, in a failed test too.
func (c *fakeControl) letGo() { c.holding.Do(func() { close(c.hold) }) }

type nobody struct{}

func (nobody) Reset()               {}
func (nobody) WorkerChanged(string) {}
func (nobody) JobChanged(string)    {}
func (nobody) InstancesChanged()    {}

func newFakeControl(t *testing.T) *fakeControl {
	c := &fakeControl{fates: newFates(), store: state.New(nobody{}), hold: make(chan struct{})}
	c.fleet = &statev1.FleetState{Index: 1}
	mux := http.NewServeMux()
	dc, fleet := peerv1.NewDataCentreServiceServer(c), peerv1.NewFleetServiceServer(c)
	mux.Handle(dc.PathPrefix(), dc)
	mux.Handle(fleet.PathPrefix(), fleet)
	c.server = httptest.NewServer(c.handler(mux))
	t.Cleanup(c.server.Close)
	t.Cleanup(c.letGo)
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

// follow names another process as the leader; empty makes this one lead.
func (c *fakeControl) follow(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderless = address
}

func (c *fakeControl) leading() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderless == "" {
		return nil
	}
	return peer.NotLeader(&port.NotLeaderError{Group: "x", Address: c.leaderless})
}

func (c *fakeControl) RecordRequest(_ context.Context, r *peerv1.RecordRequestRequest) (*peerv1.RecordRequestReply, error) {
	if err := c.leading(); err != nil {
		return nil, err
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
	if err := c.leading(); err != nil {
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

// Ambiguous methods of the two embedded services.
func (c *fakeControl) GetChange(context.Context, *apiv1.GetChangeRequest) (*apiv1.Change, error) {
	return &apiv1.Change{}, nil
}

const testKey = "lg_0011_secret"

// document adds a service of team t, and its key.
func (c *fakeControl) document(service string, change func(*statev1.WorkSpec)) {
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

// fakeInstance answers calls as its answer function says.
type fakeInstance struct {
	*fates
	id     string
	server *httptest.Server
	// answer changes a right answer; nil leaves it.
	answer func(*apiv1.InvokeResponse)
	// hold, if not nil, is waited for before the answer; letGo closes it.
	hold    chan struct{}
	holding sync.Once

	mu   sync.Mutex
	runs map[string]int
}

// letGo ends the wait before answers, in a failed test too.
func (in *fakeInstance) letGo() {
	in.holding.Do(func() {
		if in.hold != nil {
			close(in.hold)
		}
	})
}

func newFakeInstance(t *testing.T, id string) *fakeInstance {
	in := &fakeInstance{fates: newFates(), id: id, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewInstanceServiceHandler(in))
	in.server = httptest.NewServer(in.handler(mux))
	t.Cleanup(in.server.Close)
	t.Cleanup(in.letGo)
	return in
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

// testEntry is an entry with real listeners.
type testEntry struct {
	*Server
	public, peers *httpserver.Server
	caller        apiv1connect.CallerServiceClient
	peerFates     *fates
	client        *http.Client
	log           *logBuffer
	stop          context.CancelFunc
	stopped       chan struct{}
}

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func startEntry(t *testing.T, name string, controls ...*fakeControl) *testEntry {
	t.Helper()
	var addresses []string
	for _, c := range controls {
		addresses = append(addresses, c.address())
	}
	e := &testEntry{peerFates: newFates(), client: peer.NewHTTPClient(nil), stopped: make(chan struct{}), log: &logBuffer{}}
	late := &lateHandler{}
	var err error
	e.peers, err = httpserver.Start("127.0.0.1:0", e.peerFates.handler(late))
	assert.NilError(t, err)
	processes, targets := peer.NewHTTPClient(nil), peer.NewInstanceClient(nil, 64)
	e.Server = New(Config{
		Name: name, DataCentre: "x", PeerAddress: e.peers.Address(), Clock: port.NewSystemClock(), Logger: slog.New(slog.NewJSONHandler(e.log, nil)),
		Controls: map[string][]string{"x": addresses}, MaxBody: 1 << 20, Client: processes, Targets: targets, MaxCalls: 1000, TeamQueue: 100,
	})
	late.set(e.Server.Peer())
	e.public, err = httpserver.Start("127.0.0.1:0", e.Server.Public())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() {
		defer close(e.stopped)
		e.Run(ctx)
	}()
	e.caller = apiv1connect.NewCallerServiceClient(e.client, "http://"+e.public.Address())
	t.Cleanup(func() {
		cancel()
		<-e.stopped
		e.abandon()
		ended, end := context.WithCancel(context.Background())
		end()
		_ = e.public.Shutdown(ended)
		_ = e.peers.Shutdown(ended)
		for _, c := range []*http.Client{e.client, processes, targets} {
			c.CloseIdleConnections()
		}
	})
	return e
}

// lateHandler is a handler that is known after the address it serves on.
type lateHandler struct {
	mu sync.Mutex
	h  http.Handler
}

func (l *lateHandler) set(h http.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h = h
}

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	h := l.h
	l.mu.Unlock()
	h.ServeHTTP(w, r)
}

// cell is a data centre with one control process, entries and instances.
type cell struct {
	control   *fakeControl
	entries   []*testEntry
	instances []*fakeInstance
}

// newCell starts the entries; instance i is with the entry that holders names,
// a or b.
func newCell(t *testing.T, spec func(*statev1.WorkSpec), holders ...string) *cell {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	c := &cell{control: newFakeControl(t)}
	c.control.document("s", spec)
	entries := map[string]*testEntry{"a": startEntry(t, "a", c.control)}
	c.entries = append(c.entries, entries["a"])
	if strings.Contains(strings.Join(holders, ""), "b") {
		entries["b"] = startEntry(t, "b", c.control)
		c.entries = append(c.entries, entries["b"])
	}
	var list []*peerv1.Instance
	for i, holder := range holders {
		in := newFakeInstance(t, "i"+string(rune('0'+i)))
		c.instances = append(c.instances, in)
		list = append(list, &peerv1.Instance{
			InstanceId: in.id, Incarnation: 1, Team: "t", Service: "s", Address: strings.TrimPrefix(in.server.URL, "http://"),
			Slots: 8, Connections: 64, ValidMs: 1 << 40, Entry: holder, EntryAddress: entries[holder].peerAddress,
		})
	}
	c.control.mu.Lock()
	c.control.instances = list
	c.control.mu.Unlock()
	for _, e := range c.entries {
		e.relist <- struct{}{}
		await(t, func() bool {
			held, _ := e.routes.Holds()
			return e.Ready() == nil && e.follower.Store().Document("t", "s") != nil && (held > 0 || !strings.Contains(strings.Join(holders, ""), e.name))
		})
	}
	return c
}

// await waits for a condition that must come true.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition did not come true")
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// send makes a call through the first entry.
func (c *cell) send(t *testing.T, id string, deadline time.Duration) *apiv1.CallResponse {
	t.Helper()
	return c.sendTo(t, c.entries[0], &apiv1.CallRequest{RequestId: id, Team: "t", Service: "s", Body: []byte("body"), DeadlineMs: deadline.Milliseconds()})
}

func (c *cell) sendTo(t *testing.T, e *testEntry, m *apiv1.CallRequest) *apiv1.CallResponse {
	t.Helper()
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+testKey)
	reply, err := e.caller.Call(context.Background(), r)
	assert.NilError(t, err)
	assert.Equal(t, reply.Msg.RequestId, m.RequestId)
	return reply.Msg
}

func (c *cell) ran(id string) int {
	n := 0
	for _, in := range c.instances {
		n += in.ran(id)
	}
	return n
}

func idempotent(s *statev1.WorkSpec) { s.Idempotent = true }
func once(*statev1.WorkSpec)         {}

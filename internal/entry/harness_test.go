package entry

import (
	"bytes"
	"context"
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
	"github.com/google/uuid"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/port"
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
		ControlAddresses: map[string][]string{"x": addresses}, MaxBodyBytes: 1 << 20, Client: processes, TargetClient: targets, MaxCalls: 1000, MaxWaitingPerTeam: 100,
	})
	late.set(e.Server.PeerHandler())
	e.public, err = httpserver.Start("127.0.0.1:0", e.Server.PublicHandler())
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
			held, _ := e.routes.HeldInstances()
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

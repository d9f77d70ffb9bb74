package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
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
	"laburnumgrade/internal/follower"
	"laburnumgrade/internal/port"
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// messageFault is what happens to a request.
type messageFault int

const (
	delivered messageFault = iota
	// requestLost drops the request before the receiver handles it, replyLost drops
	// the reply.
	requestLost
	replyLost
	// neverAnswered blocks until the client closes the connection.
	neverAnswered
	// deliveredLate delivers the request once releaseLate is called, whatever the client
	// does meanwhile. The reply is lost.
	deliveredLate
)

// faultInjector holds the faults of the next requests, and the number of requests, by
// method, which is the last part of the path.
type faultInjector struct {
	mu   sync.Mutex
	next map[string][]messageFault
	seen map[string]int
	late chan struct{}
	once sync.Once
}

// releaseLate delivers the requests with the fault deliveredLate.
func (f *faultInjector) releaseLate() { f.once.Do(func() { close(f.late) }) }

func newFaultInjector() *faultInjector {
	return &faultInjector{next: map[string][]messageFault{}, seen: map[string]int{}, late: make(chan struct{})}
}

// setFaults defines the faults of the next requests of a method, one each. The last one
// applies to all further requests.
func (f *faultInjector) setFaults(method string, list ...messageFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next[method] = list
}

// requestCount returns the number of requests of a method so far.
func (f *faultInjector) requestCount(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[method]
}

// nextFault counts a request and returns its fault.
func (f *faultInjector) nextFault(path string) messageFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	method := path[strings.LastIndex(path, "/")+1:]
	f.seen[method]++
	list := f.next[method]
	if len(list) == 0 {
		return delivered
	}
	if len(list) > 1 {
		f.next[method] = list[1:]
	}
	return list[0]
}

// handler applies the faults to the requests for next.
func (f *faultInjector) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch f.nextFault(r.URL.Path) {
		case requestLost:
			panic(http.ErrAbortHandler)
		case neverAnswered:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case deliveredLate:
			body, _ := io.ReadAll(r.Body)
			<-f.late
			r = r.WithContext(context.WithoutCancel(r.Context()))
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case replyLost:
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
	peerFaults    *faultInjector
	client        *http.Client
	// leaseClock is the clock of the configuration lease.
	leaseClock *testClock
	log        *logBuffer
	stop       context.CancelFunc
	stopped    chan struct{}
}

// testClock is a clock that stands still unless a test advances it, so that no configuration lease
// expires because a renewal is late on a busy machine.
type testClock struct{ now atomic.Int64 }

func (c *testClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func (c *testClock) advance(d time.Duration) { c.now.Add(int64(d)) }

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
	e := &testEntry{peerFaults: newFaultInjector(), client: withoutDialTimeout(peer.NewHTTPClient(nil)), stopped: make(chan struct{}), log: &logBuffer{}, leaseClock: &testClock{}}
	late := &lateHandler{}
	var err error
	e.peers, err = httpserver.Start("127.0.0.1:0", e.peerFaults.handler(late))
	assert.NilError(t, err)
	processes, targets := withoutDialTimeout(peer.NewHTTPClient(nil)), withoutDialTimeout(peer.NewInstanceClient(nil, 64))
	e.Server = New(Config{
		Name: name, DataCentre: "x", PeerAddress: e.peers.Address(), Clock: port.NewSystemClock(), Logger: slog.New(slog.NewJSONHandler(e.log, nil)),
		ControlAddresses: map[string][]string{"x": addresses}, MaxBodyBytes: 1 << 20, Client: processes, TargetClient: targets, MaxCallsInFlight: 1000, MaxWaitingPerTeam: 100,
		OperatorKeyHash: sha256.Sum256([]byte(testOperatorKey)),
	})
	e.Server.follower = follower.New(follower.Config{
		Holder: name, DataCentre: "x", FleetPeers: e.Server.fleetGroup, Clock: e.leaseClock,
		Logger: slog.New(slog.NewJSONHandler(e.log, nil)), OnControls: e.Server.addControls, OnApplied: e.Server.recordConfig,
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

// withoutDialTimeout removes the time limit for opening connections from a client: on a busy
// machine a process may get the processor too late for any limit, and no test depends on one.
func withoutDialTimeout(c *http.Client) *http.Client {
	c.Transport.(*http.Transport).DialContext = (&net.Dialer{}).DialContext
	return c
}

// lateHandler is a handler that is set after its server has started, since the
// handler depends on the address of the server.
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

// newCell starts a control process, the entries a and, if needed, b, and one instance
// for each element of holders, which names the entry that grants its slots. A test or subtest
// has one cell at most: the connections that an earlier cell opens in the background would
// look like leaks of a later one.
func newCell(t *testing.T, spec func(*statev1.WorkSpec), holders ...string) *cell {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	c := &cell{control: newFakeControl(t)}
	c.control.putDocument("s", spec)
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
		e.relistRequested <- struct{}{}
		waitFor(t, func() bool {
			held, _ := e.routes.HeldInstances()
			return e.Ready() == nil && e.follower.Store().Document("t", "s") != nil && (held > 0 || !strings.Contains(strings.Join(holders, ""), e.name))
		})
	}
	return c
}

// waitFor waits until a condition is true, and fails the test after 20 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition did not become true within 20 s")
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

// ran returns how often the instances ran a request.
func (c *cell) ran(id string) int {
	n := 0
	for _, in := range c.instances {
		n += in.ran(id)
	}
	return n
}

func idempotent(s *statev1.WorkSpec)  { s.Idempotent = true }
func nonIdempotent(*statev1.WorkSpec) {}

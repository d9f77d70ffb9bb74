package peer

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"laburnumgrade/gen/peerv1"
)

// collector is a RaftReceiver that records the rounds of the received messages.
type collector struct {
	mu     sync.Mutex
	rounds []uint64
}

func (c *collector) Step(messages []*peerv1.RaftMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range messages {
		c.rounds = append(c.rounds, m.Round)
	}
}

func (c *collector) received(count int) poll.Check {
	return func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.rounds) == count {
			return poll.Success()
		}
		return poll.Continue("%d messages received, want %d", len(c.rounds), count)
	}
}

// TestRaftTransport guards against lost or reordered messages on a working
// connection, against messages that reach the wrong group, and against an
// address that is still used after the replica has moved.
func TestRaftTransport(t *testing.T) {
	receivers := map[string]*collector{"g": {}, "h": {}}
	server := NewRaftServer()
	for group, c := range receivers {
		server.Register(group, c)
	}
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()

	var mu sync.Mutex
	address := "127.0.0.1:1" // nothing listens there
	transport := NewRaftTransport(&http.Client{}, func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		return map[string]string{"b.1": address}[id]
	}, slog.New(slog.DiscardHandler))
	defer transport.Close()

	transport.Send("g", []*peerv1.RaftMessage{{To: "b.1", Round: 99}, {To: "unknown.1"}})
	mu.Lock()
	address = strings.TrimPrefix(listener.URL, "http://")
	mu.Unlock()
	const count = 200
	for i := range uint64(count) {
		transport.Send("g", []*peerv1.RaftMessage{{To: "b.1", Round: i}})
		transport.Send("h", []*peerv1.RaftMessage{{To: "b.1", Round: i}, {To: "b.1", Round: i}})
	}
	poll.WaitOn(t, receivers["g"].received(count), poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	poll.WaitOn(t, receivers["h"].received(2*count), poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	for i, round := range receivers["g"].rounds {
		assert.Equal(t, round, uint64(i))
	}
	server.Register("g", nil)
	_, err := server.Deliver(context.Background(), &peerv1.RaftBatch{Group: "g"})
	assert.ErrorContains(t, err, "no replica of group g")
}

// TestRaftQueueDropsOldest guards against a queue that grows without bound
// while a peer is unreachable, and against one that drops new messages instead
// of old ones.
func TestRaftQueueDropsOldest(t *testing.T) {
	s := &sender{wake: make(chan struct{}, 1)}
	for i := range uint64(maxQueuedMessages + 10) {
		s.enqueue([]queuedMessage{{"g", &peerv1.RaftMessage{Round: i}}})
	}
	batch, _ := s.nextBatch()
	assert.Equal(t, len(batch.Messages), maxQueuedMessages)
	assert.Equal(t, batch.Messages[0].Round, uint64(10))
}

// slowService is a RaftService whose deliveries take the given time.
type slowService struct{ delay time.Duration }

func (s slowService) Deliver(context.Context, *peerv1.RaftBatch) (*peerv1.RaftAck, error) {
	time.Sleep(s.delay)
	return &peerv1.RaftAck{}, nil
}

// TestSlowDeliveryIsLogged guards against deliveries close to their time limit that
// leave no trace in the log.
func TestSlowDeliveryIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			takes time.Duration
			lines int
		}{{baseRequestTimeout / 4, 0}, {baseRequestTimeout / 2, 1}} {
			var out bytes.Buffer
			s := &sender{service: slowService{c.takes}, log: slog.New(slog.NewJSONHandler(&out, nil))}
			s.deliver(t.Context(), &peerv1.RaftBatch{Group: "g"}, 0)
			assert.Equal(t, strings.Count(out.String(), "raft messages took long to deliver"), c.lines)
		}
	})
}

// slowLink is an http.RoundTripper that passes requests to a handler at
// minBytesPerSecond. It fails requests of at least failFrom bytes if that is not 0.
type slowLink struct {
	handler  http.Handler
	failFrom int64
}

func (l slowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.failFrom > 0 && r.ContentLength >= l.failFrom {
		return nil, errors.New("connection refused")
	}
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(time.Duration(r.ContentLength) * time.Second / minBytesPerSecond):
	}
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// arrivals is a RaftReceiver that records when messages of each type arrive.
type arrivals struct {
	mu    sync.Mutex
	times map[peerv1.RaftMessage_Type][]time.Time
	// appends holds the log indexes of the appends.
	appends []uint64
}

func (a *arrivals) Step(messages []*peerv1.RaftMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range messages {
		a.times[m.Type] = append(a.times[m.Type], time.Now())
		if m.Type == peerv1.RaftMessage_APPEND {
			a.appends = append(a.appends, m.LogIndex)
		}
	}
}

// longestGap returns the longest time between two heartbeats, from the start until now.
func (a *arrivals) longestGap(start time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	gap, last := time.Duration(0), start
	for _, t := range append(slices.Clone(a.times[peerv1.RaftMessage_HEARTBEAT]), time.Now()) {
		gap, last = max(gap, t.Sub(last)), t
	}
	return gap
}

const testHeartbeatInterval = 100 * time.Millisecond

// startSlowLink returns a transport to a single replica b over a slow link.
func startSlowLink(t *testing.T, failFrom int64) (*RaftTransport, *arrivals) {
	received := &arrivals{times: map[peerv1.RaftMessage_Type][]time.Time{}}
	server := NewRaftServer()
	server.Register("g", received)
	client := &http.Client{Transport: slowLink{server.Handler(), failFrom}}
	transport := NewRaftTransport(client, func(string) string { return "b" }, slog.New(slog.DiscardHandler))
	t.Cleanup(transport.Close)
	return transport, received
}

func sendHeartbeats(transport *RaftTransport, count int) {
	for range count {
		transport.Send("g", []*peerv1.RaftMessage{{To: "b", Type: peerv1.RaftMessage_HEARTBEAT}})
		time.Sleep(testHeartbeatInterval)
	}
}

func snapshotMessage(to string, index uint64, bytes int) *peerv1.RaftMessage {
	return &peerv1.RaftMessage{To: to, Type: peerv1.RaftMessage_SNAPSHOT, Snapshot: &peerv1.RaftSnapshot{Index: index, Data: make([]byte, bytes)}}
}

// TestHeartbeatsDoNotWaitForSnapshot guards against elections while a follower
// receives a snapshot, or while the snapshot cannot be delivered.
func TestHeartbeatsDoNotWaitForSnapshot(t *testing.T) {
	const size = 8 << 20
	for name, failFrom := range map[string]int64{"slow": 0, "failing": size} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport, received := startSlowLink(t, failFrom)
				start := time.Now()
				for range 3 {
					transport.Send("g", []*peerv1.RaftMessage{snapshotMessage("b", 1, size)})
					sendHeartbeats(transport, 10)
				}
				gap := received.longestGap(start)
				assert.Assert(t, gap < testHeartbeatInterval+failureBackoff, "no heartbeat arrived for %v", gap)
				time.Sleep(2 * time.Second)
				transport.Close()
				delivered := len(received.times[peerv1.RaftMessage_SNAPSHOT]) > 0
				assert.Equal(t, delivered, failFrom == 0)
			})
		})
	}
}

// TestNewerSnapshotReplacesQueuedOne guards against outdated snapshots that queue up
// for a slow replica.
func TestNewerSnapshotReplacesQueuedOne(t *testing.T) {
	s := &sender{to: destination{snapshots: true}, wake: make(chan struct{}, 1)}
	for index := range uint64(5) {
		s.enqueue([]queuedMessage{{"g", snapshotMessage("b", index, 0)}, {"g", snapshotMessage("c", index, 0)}, {"h", snapshotMessage("b", index, 0)}})
	}
	for _, group := range []string{"g", "g", "h"} {
		batch, _ := s.nextBatch()
		assert.Equal(t, batch.Group, group)
		assert.Equal(t, len(batch.Messages), 1)
		assert.Equal(t, batch.Messages[0].Snapshot.Index, uint64(4))
	}
	assert.Equal(t, s.queueLength(), 0)
}

// minElectionTimeout is the shortest time without a heartbeat after which a follower
// starts an election.
const minElectionTimeout = 450 * time.Millisecond

func appendMessage(index uint64, entries, bytes int) *peerv1.RaftMessage {
	m := &peerv1.RaftMessage{To: "b", Type: peerv1.RaftMessage_APPEND, LogIndex: index}
	for range entries {
		m.Entries = append(m.Entries, &peerv1.RaftEntry{Data: make([]byte, bytes/entries)})
	}
	return m
}

// TestHeartbeatsDoNotWaitForLargeAppends guards against elections while a follower
// with a slow link receives many large appends, and against reordered or lost ones.
func TestHeartbeatsDoNotWaitForLargeAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const appends = 64
		transport, received := startSlowLink(t, 0)
		start := time.Now()
		for i := range uint64(appends) {
			transport.Send("g", []*peerv1.RaftMessage{appendMessage(i, 1, 512<<10)})
		}
		sendHeartbeats(transport, 100)
		gap := received.longestGap(start)
		assert.Assert(t, gap < minElectionTimeout, "no heartbeat arrived for %v", gap)
		transport.Close()
		assert.Equal(t, len(received.appends), appends)
		for i, index := range received.appends {
			assert.Equal(t, index, uint64(i))
		}
	})
}

// TestRepeatedAppendReplacesQueuedOne guards against entries that are sent several
// times because heartbeats overtake the append that holds them.
func TestRepeatedAppendReplacesQueuedOne(t *testing.T) {
	s := &sender{wake: make(chan struct{}, 1)}
	for _, m := range []*peerv1.RaftMessage{appendMessage(7, 1, 1), appendMessage(8, 1, 1), appendMessage(8, 3, 3), appendMessage(8, 2, 2), appendMessage(11, 0, 0)} {
		s.enqueue([]queuedMessage{{"g", m}})
	}
	batch, _ := s.nextBatch()
	var got [][2]int
	for _, m := range batch.Messages {
		got = append(got, [2]int{int(m.LogIndex), len(m.Entries)})
	}
	assert.DeepEqual(t, got, [][2]int{{7, 1}, {8, 3}, {8, 2}, {11, 0}})
}

// TestAppendsAreNotStarved guards against appends that wait for as long as there are
// heartbeats to send, of another group or with too little room beside them.
func TestAppendsAreNotStarved(t *testing.T) {
	for group, size := range map[string]int{"g": maxBatchBytes, "h": 1} {
		s := &sender{wake: make(chan struct{}, 1)}
		heartbeat := queuedMessage{group, &peerv1.RaftMessage{To: "b", Type: peerv1.RaftMessage_HEARTBEAT}}
		s.enqueue([]queuedMessage{{"g", appendMessage(1, 1, size)}, heartbeat})
		var sent []peerv1.RaftMessage_Type
		for range 3 {
			batch, _ := s.nextBatch()
			sent = append(sent, batch.Messages[0].Type)
			s.enqueue([]queuedMessage{heartbeat})
		}
		assert.DeepEqual(t, sent, []peerv1.RaftMessage_Type{peerv1.RaftMessage_HEARTBEAT, peerv1.RaftMessage_APPEND, peerv1.RaftMessage_HEARTBEAT})
	}
}

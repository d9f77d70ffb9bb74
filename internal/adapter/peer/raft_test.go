package peer

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
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

package peer

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

const (
	// maxQueuedMessages bounds the queue of one peer. Beyond it the oldest messages
	// are dropped, since raft sends again what is still needed.
	maxQueuedMessages = 4096
	// maxBatchBytes bounds the messages of one request, unless a single message is
	// larger.
	maxBatchBytes = 4 << 20
	// baseRequestTimeout is extended by the time that the batch takes at
	// minBytesPerSecond, because a snapshot may be large.
	baseRequestTimeout = time.Second
	minBytesPerSecond  = 4 << 20
	// failureBackoff is the pause after a failed request, so that an unreachable
	// peer is not dialled in a tight loop.
	failureBackoff = 50 * time.Millisecond
	// senderIdleTimeout is how long a sender is kept without messages to send.
	senderIdleTimeout = 30 * time.Second
)

// RaftTransport is a port.PeerTransport over twirp. Each peer address has one
// bounded queue and one sender goroutine, so a slow peer does not delay others.
type RaftTransport struct {
	client  *http.Client
	resolve func(id string) string
	log     *slog.Logger
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	senders map[string]*sender // by address
}

var _ port.PeerTransport = (*RaftTransport)(nil)

// NewRaftTransport returns a transport that sends through the client. resolve
// is called for each message; it returns the current address of a replica id,
// or "" if it is unknown, in which case the message is dropped.
func NewRaftTransport(client *http.Client, resolve func(id string) string, log *slog.Logger) *RaftTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &RaftTransport{
		client: client, resolve: resolve, log: log,
		context: ctx, cancel: cancel, senders: map[string]*sender{},
	}
}

// Close stops the senders and waits for them. Queued messages are dropped.
func (t *RaftTransport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.running.Wait()
}

// Send implements port.PeerTransport.
func (t *RaftTransport) Send(group string, messages []*peerv1.RaftMessage) {
	byAddress := map[string][]queuedMessage{}
	for _, m := range messages {
		if address := t.resolve(m.To); address != "" {
			byAddress[address] = append(byAddress[address], queuedMessage{group, m})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.context.Err() != nil {
		return
	}
	for address, items := range byAddress {
		s := t.senders[address]
		if s == nil {
			s = t.startSender(address)
		}
		s.enqueue(items)
	}
}

func (t *RaftTransport) startSender(address string) *sender {
	s := &sender{
		address: address,
		log:     t.log.With("peer", address),
		service: peerv1.NewRaftServiceProtobufClient("http://"+address, t.client),
		wake:    make(chan struct{}, 1),
	}
	t.senders[address] = s
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		s.run(t.context, func() bool { return t.removeIdle(s) })
	}()
	return s
}

// removeIdle removes a sender whose queue is empty. It reports false if
// messages were queued in the meantime.
func (t *RaftTransport) removeIdle(s *sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.queueLength() > 0 {
		return false
	}
	delete(t.senders, s.address)
	return true
}

type queuedMessage struct {
	group   string
	message *peerv1.RaftMessage
}

// sender sends the messages for one address, one request at a time.
type sender struct {
	address string
	log     *slog.Logger
	service peerv1.RaftService
	wake    chan struct{}
	failing bool

	mu    sync.Mutex
	queue []queuedMessage
}

func (s *sender) enqueue(items []queuedMessage) {
	s.mu.Lock()
	s.queue = append(s.queue, items...)
	if over := len(s.queue) - maxQueuedMessages; over > 0 {
		s.queue = append([]queuedMessage(nil), s.queue[over:]...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

func (s *sender) run(ctx context.Context, removeIdle func() bool) {
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		batch, size := s.nextBatch()
		if batch == nil {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			case <-idle.C:
				if removeIdle() {
					return
				}
				idle.Reset(senderIdleTimeout)
			}
			continue
		}
		idle.Reset(senderIdleTimeout)
		s.deliver(ctx, batch, size)
		if ctx.Err() != nil {
			return
		}
	}
}

// nextBatch removes the next batch, which holds consecutive messages of one
// group, from the queue. It returns the batch, nil if the queue is empty, and
// its size in bytes, which includes the next message if that did not fit.
func (s *sender) nextBatch() (*peerv1.RaftBatch, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, 0
	}
	batch := &peerv1.RaftBatch{Group: s.queue[0].group}
	size := 0
	for len(s.queue) > 0 && s.queue[0].group == batch.Group {
		size += proto.Size(s.queue[0].message)
		if len(batch.Messages) > 0 && size > maxBatchBytes {
			break
		}
		batch.Messages = append(batch.Messages, s.queue[0].message)
		s.queue[0] = queuedMessage{}
		s.queue = s.queue[1:]
	}
	return batch, size
}

// deliver sends one batch. If it fails, the batch is dropped, since its
// messages may be out of date by the time the peer is reachable. Only the first
// failure and the next success are logged.
func (s *sender) deliver(ctx context.Context, batch *peerv1.RaftBatch, size int) {
	timeout := baseRequestTimeout + time.Duration(size)*time.Second/minBytesPerSecond
	request, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	_, err := s.service.Deliver(request, batch)
	if took := time.Since(began); took >= timeout/2 {
		s.log.Warn("raft messages took long to deliver", "group", batch.Group, "messages", len(batch.Messages),
			"bytes", size, "took_ms", took.Milliseconds(), "timeout_ms", timeout.Milliseconds(), "delivered", err == nil)
	}
	if err == nil {
		if s.failing {
			s.log.Info("raft messages are delivered again", "group", batch.Group)
		}
		s.failing = false
		return
	}
	if !s.failing {
		s.log.Warn("raft messages could not be delivered; the batch is dropped", "group", batch.Group, "err", err)
	}
	s.failing = true
	select {
	case <-ctx.Done():
	case <-time.After(failureBackoff):
	}
}

// RaftReceiver processes the messages received for one group. replica.Replica
// implements it.
type RaftReceiver interface {
	Step(messages []*peerv1.RaftMessage)
}

// RaftServer implements peerv1.RaftService. It passes received batches to the
// receiver of their group.
type RaftServer struct {
	mu        sync.RWMutex
	receivers map[string]RaftReceiver // by group
}

var _ peerv1.RaftService = (*RaftServer)(nil)

// NewRaftServer returns a server without receivers.
func NewRaftServer() *RaftServer { return &RaftServer{receivers: map[string]RaftReceiver{}} }

// Register sets the receiver of the group; nil removes it.
func (s *RaftServer) Register(group string, receiver RaftReceiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if receiver == nil {
		delete(s.receivers, group)
		return
	}
	s.receivers[group] = receiver
}

// Deliver implements peerv1.RaftService.
func (s *RaftServer) Deliver(_ context.Context, batch *peerv1.RaftBatch) (*peerv1.RaftAck, error) {
	s.mu.RLock()
	receiver := s.receivers[batch.Group]
	s.mu.RUnlock()
	if receiver == nil {
		return nil, twirp.NotFoundError("this process has no replica of group " + batch.Group)
	}
	receiver.Step(batch.Messages)
	return &peerv1.RaftAck{}, nil
}

// Handler returns the HTTP handler of the service.
func (s *RaftServer) Handler() http.Handler { return peerv1.NewRaftServiceServer(s) }

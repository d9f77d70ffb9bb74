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
	// maxQueuedMessages bounds each queue of a sender. Beyond it the oldest messages
	// are dropped, since raft sends again what is still needed.
	maxQueuedMessages = 4096
	// maxBatchBytes bounds the messages of one request, unless a single message is
	// larger. A heartbeat may wait for the request in progress and then for the rest
	// of its own batch: a quarter of a second at minBytesPerSecond.
	maxBatchBytes = 512 << 10
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

// RaftTransport is a port.PeerTransport over twirp. Each peer address has bounded
// queues and a sender goroutine, so a slow peer does not delay others. Snapshots have
// a sender of their own, so that other messages do not wait for them, and heartbeats,
// votes and replies are sent before queued appends.
type RaftTransport struct {
	client  *http.Client
	resolve func(id string) string
	log     *slog.Logger
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	senders map[destination]*sender
}

// destination identifies a sender.
type destination struct {
	address   string
	snapshots bool // whether the sender sends the snapshots or the other messages
}

var _ port.PeerTransport = (*RaftTransport)(nil)

// NewRaftTransport returns a transport that sends through the client. resolve
// is called for each message; it returns the current address of a replica id,
// or "" if it is unknown, in which case the message is dropped.
func NewRaftTransport(client *http.Client, resolve func(id string) string, log *slog.Logger) *RaftTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &RaftTransport{
		client: client, resolve: resolve, log: log,
		context: ctx, cancel: cancel, senders: map[destination]*sender{},
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
	byDestination := map[destination][]queuedMessage{}
	for _, m := range messages {
		if address := t.resolve(m.To); address != "" {
			to := destination{address, m.Type == peerv1.RaftMessage_SNAPSHOT}
			byDestination[to] = append(byDestination[to], queuedMessage{group, m})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.context.Err() != nil {
		return
	}
	for to, items := range byDestination {
		s := t.senders[to]
		if s == nil {
			s = t.startSender(to)
		}
		s.enqueue(items)
	}
}

func (t *RaftTransport) startSender(to destination) *sender {
	s := &sender{
		to:      to,
		log:     t.log.With("peer", to.address, "snapshots", to.snapshots),
		service: peerv1.NewRaftServiceProtobufClient("http://"+to.address, t.client),
		wake:    make(chan struct{}, 1),
	}
	t.senders[to] = s
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
	delete(t.senders, s.to)
	return true
}

type queuedMessage struct {
	group   string
	message *peerv1.RaftMessage
}

// bulk reports whether the message may be large.
func (m queuedMessage) bulk() bool {
	return m.message.Type == peerv1.RaftMessage_APPEND || m.message.Type == peerv1.RaftMessage_SNAPSHOT
}

// sameReplica reports whether both messages are for the same replica of a group.
func (m queuedMessage) sameReplica(q queuedMessage) bool {
	return m.group == q.group && m.message.To == q.message.To
}

// replaces reports whether m makes q, an earlier message of the same type to the same
// replica, unnecessary: a snapshot does, and an append that holds all entries of q.
func (m queuedMessage) replaces(q queuedMessage) bool {
	a, b := m.message, q.message
	return a.Type == peerv1.RaftMessage_SNAPSHOT ||
		a.From == b.From && a.Term == b.Term && a.LogIndex == b.LogIndex && a.LogTerm == b.LogTerm && len(a.Entries) >= len(b.Entries)
}

// sender sends the messages for one destination, one request at a time.
type sender struct {
	to      destination
	log     *slog.Logger
	service peerv1.RaftService
	wake    chan struct{}
	failing bool

	mu sync.Mutex
	// bulk holds the appends or, in a sender of snapshots, these; urgent holds the
	// other messages.
	urgent, bulk []queuedMessage
	// bulkNext is set if a bulk message waited during the last batch and none was sent.
	bulkNext bool
}

func (s *sender) enqueue(items []queuedMessage) {
	s.mu.Lock()
	for _, m := range items {
		if m.bulk() {
			s.bulk = appendOrReplace(s.bulk, m)
		} else {
			s.urgent = append(s.urgent, m)
		}
	}
	s.urgent, s.bulk = dropOldest(s.urgent), dropOldest(s.bulk)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// appendOrReplace appends a message, or puts it in the place of the last message to the
// same replica if it replaces that.
func appendOrReplace(queue []queuedMessage, m queuedMessage) []queuedMessage {
	for i := len(queue) - 1; i >= 0; i-- {
		if !m.sameReplica(queue[i]) {
			continue
		}
		if m.replaces(queue[i]) {
			queue[i] = m
			return queue
		}
		break
	}
	return append(queue, m)
}

// dropOldest returns the newest maxQueuedMessages messages.
func dropOldest(queue []queuedMessage) []queuedMessage {
	if over := len(queue) - maxQueuedMessages; over > 0 {
		return append([]queuedMessage(nil), queue[over:]...)
	}
	return queue
}

func (s *sender) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.urgent) + len(s.bulk)
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

// nextBatch removes the next batch from the queues: messages of one group, urgent ones
// first unless the last batch held only such, or a single snapshot. It returns the batch, nil if the queues are empty, and
// its size in bytes.
func (s *sender) nextBatch() (*peerv1.RaftBatch, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, second := &s.urgent, &s.bulk
	if len(s.urgent) == 0 || s.bulkNext {
		first, second = second, first
	}
	if len(*first) == 0 {
		return nil, 0
	}
	b := &batchBuilder{batch: &peerv1.RaftBatch{Group: (*first)[0].group}, single: s.to.snapshots}
	waiting := len(s.bulk)
	*first = b.take(*first)
	*second = b.take(*second)
	s.bulkNext = waiting > 0 && len(s.bulk) == waiting
	return b.batch, b.size
}

// batchBuilder collects the messages of a batch.
type batchBuilder struct {
	batch  *peerv1.RaftBatch
	single bool // whether the batch holds at most one message
	size   int  // bytes
}

// take adds the first messages of the queue, as long as they are of the batch's group
// and fit, and returns the rest.
func (b *batchBuilder) take(queue []queuedMessage) []queuedMessage {
	for len(queue) > 0 && queue[0].group == b.batch.Group {
		next := proto.Size(queue[0].message)
		if len(b.batch.Messages) > 0 && (b.single || b.size+next > maxBatchBytes) {
			break
		}
		b.size += next
		b.batch.Messages = append(b.batch.Messages, queue[0].message)
		queue[0] = queuedMessage{}
		queue = queue[1:]
	}
	return queue
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

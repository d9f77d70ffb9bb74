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
	// maxQueued bounds the messages that wait for one peer. Beyond it the
	// oldest are dropped: the protocol repeats what is still needed.
	maxQueued = 4096
	// maxBatchBytes bounds one request, unless a single message is larger.
	maxBatchBytes = 4 << 20
	// baseTimeout of a request, extended by the size of the batch at
	// slowestRate, because a snapshot may be large.
	baseTimeout = time.Second
	slowestRate = 4 << 20 // bytes per second
	// failurePause keeps a dead peer from being dialled without pause.
	failurePause = 50 * time.Millisecond
	// idleSender is how long a sender without messages is kept.
	idleSender = 30 * time.Second
)

// RaftTransport is a port.PeerTransport over twirp. Each peer address has one
// bounded queue and one sender goroutine, so a slow peer delays no other.
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

// NewRaftTransport returns a transport that sends through the client. The
// function returns the current address of a replica id, "" if it is not known;
// it is called for each message.
func NewRaftTransport(client *http.Client, resolve func(id string) string, log *slog.Logger) *RaftTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &RaftTransport{
		client: client, resolve: resolve, log: log,
		context: ctx, cancel: cancel, senders: map[string]*sender{},
	}
}

// Close stops the senders; what is queued is dropped.
func (t *RaftTransport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.running.Wait()
}

// Send implements port.PeerTransport.
func (t *RaftTransport) Send(group string, messages []*peerv1.RaftMessage) {
	byAddress := map[string][]item{}
	for _, m := range messages {
		if address := t.resolve(m.To); address != "" {
			byAddress[address] = append(byAddress[address], item{group, m})
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
		s.add(items)
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
		s.run(t.context, func() bool { return t.drop(s) })
	}()
	return s
}

// drop removes an idle sender, unless messages were queued meanwhile.
func (t *RaftTransport) drop(s *sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.queued() > 0 {
		return false
	}
	delete(t.senders, s.address)
	return true
}

type item struct {
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
	queue []item
}

func (s *sender) add(items []item) {
	s.mu.Lock()
	s.queue = append(s.queue, items...)
	if over := len(s.queue) - maxQueued; over > 0 {
		s.queue = append([]item(nil), s.queue[over:]...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

func (s *sender) run(ctx context.Context, drop func() bool) {
	idle := time.NewTimer(idleSender)
	defer idle.Stop()
	for {
		batch, size := s.take()
		if batch == nil {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			case <-idle.C:
				if drop() {
					return
				}
				idle.Reset(idleSender)
			}
			continue
		}
		idle.Reset(idleSender)
		s.deliver(ctx, batch, size)
		if ctx.Err() != nil {
			return
		}
	}
}

// take removes the next batch from the queue: consecutive messages of a group.
func (s *sender) take() (*peerv1.RaftBatch, int) {
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
		s.queue[0] = item{}
		s.queue = s.queue[1:]
	}
	return batch, size
}

// deliver sends one batch. A batch that fails is dropped: its messages may be
// out of date by the time the peer is reachable.
func (s *sender) deliver(ctx context.Context, batch *peerv1.RaftBatch, size int) {
	timeout := baseTimeout + time.Duration(size)*time.Second/slowestRate
	request, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := s.service.Deliver(request, batch)
	if err == nil {
		if s.failing {
			s.log.Info("delivering raft messages again", "group", batch.Group)
		}
		s.failing = false
		return
	}
	if !s.failing {
		s.log.Warn("delivering raft messages failed", "group", batch.Group, "err", err)
	}
	s.failing = true
	select {
	case <-ctx.Done():
	case <-time.After(failurePause):
	}
}

// RaftReceiver takes the messages of one group, as replica.Replica does.
type RaftReceiver interface {
	Step(messages []*peerv1.RaftMessage)
}

// RaftServer hands received batches to the replica of their group. It
// implements peerv1.RaftService.
type RaftServer struct {
	mu        sync.RWMutex
	receivers map[string]RaftReceiver // by group
}

var _ peerv1.RaftService = (*RaftServer)(nil)

// NewRaftServer returns a server without receivers.
func NewRaftServer() *RaftServer { return &RaftServer{receivers: map[string]RaftReceiver{}} }

// Register makes the receiver the one of the group; nil removes the group.
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

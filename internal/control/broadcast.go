package control

import (
	"sync"

	"laburnumgrade/internal/structs"
)

// Topics besides "worker/ID" and "job/ID".
const (
	topicInstances = "instances"
	topicQueue     = "queue"
)

// broadcast notifies goroutines of changes, by topic.
type broadcast struct {
	mu     sync.Mutex
	topics map[string]chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{topics: map[string]chan struct{}{}} }

// subscribe returns a channel that is closed at the topic's next change. The caller
// subscribes before it reads the state, so that it misses no change.
func (b *broadcast) subscribe(topic string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.topics[topic]
	if c == nil {
		c = make(chan struct{})
		b.topics[topic] = c
	}
	return c
}

// notify closes the channels of the topic's subscribers.
func (b *broadcast) notify(topic string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.topics[topic]; c != nil {
		close(c)
		delete(b.topics, topic)
	}
}

// notifyAll notifies the subscribers of all topics.
func (b *broadcast) notifyAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for topic, c := range b.topics {
		close(c)
		delete(b.topics, topic)
	}
}

// stateObserver receives the store's change notifications. It marks the changed
// workers and jobs for the scheduler's mirror and notifies waiting goroutines.
type stateObserver struct {
	changes *broadcast
	dirty   *dirtySet
	// onCommitted is called with each committed attempt; may be nil.
	onCommitted func(a *structs.Attempt)
}

// AttemptCommitted implements state.AttemptObserver.
func (o *stateObserver) AttemptCommitted(a *structs.Attempt) {
	if o.onCommitted != nil {
		o.onCommitted(a)
	}
}

func (o *stateObserver) Reset() {
	o.dirty.addAll()
	o.changes.notifyAll()
}

func (o *stateObserver) WorkerChanged(id string) {
	o.dirty.addWorker(id)
	o.changes.notify("worker/" + id)
	o.changes.notify(topicQueue)
}

func (o *stateObserver) JobChanged(id string) {
	o.dirty.addJob(id)
	o.changes.notify("job/" + id)
	o.changes.notify(topicQueue)
}

func (o *stateObserver) InstancesChanged() { o.changes.notify(topicInstances) }

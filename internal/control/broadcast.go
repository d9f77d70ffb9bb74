package control

import (
	"sync"

	"laburnumgrade/internal/structs"
)

// Topics that are not ids of workers or jobs.
const (
	topicInstances = "instances"
	topicQueue     = "queue"
)

// broadcast wakes the goroutines that wait for a topic.
type broadcast struct {
	mu     sync.Mutex
	topics map[string]chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{topics: map[string]chan struct{}{}} }

// wait returns a channel that is closed at the topic's next change. The caller
// takes the channel before it reads the state.
func (b *broadcast) wait(topic string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.topics[topic]
	if c == nil {
		c = make(chan struct{})
		b.topics[topic] = c
	}
	return c
}

func (b *broadcast) wake(topic string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.topics[topic]; c != nil {
		close(c)
		delete(b.topics, topic)
	}
}

func (b *broadcast) wakeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for topic, c := range b.topics {
		close(c)
		delete(b.topics, topic)
	}
}

// observer wakes waiters when the state changes.
type observer struct {
	changes *broadcast
	dirty   *dirty
	// committed is called with each committed attempt; may be nil.
	committed func(a *structs.Attempt)
}

// AttemptCommitted implements state.AttemptObserver.
func (o *observer) AttemptCommitted(a *structs.Attempt) {
	if o.committed != nil {
		o.committed(a)
	}
}

func (o *observer) Reset() {
	o.dirty.reset()
	o.changes.wakeAll()
}

func (o *observer) WorkerChanged(id string) {
	o.dirty.worker(id)
	o.changes.wake("worker/" + id)
	o.changes.wake(topicQueue)
}

func (o *observer) JobChanged(id string) {
	o.dirty.job(id)
	o.changes.wake("job/" + id)
	o.changes.wake(topicQueue)
}

func (o *observer) InstancesChanged() { o.changes.wake(topicInstances) }

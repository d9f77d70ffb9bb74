package dispatch

import (
	"sync"
	"time"

	"laburnumgrade/internal/cell"
)

// outstandingStarts knows which start orders workers may still carry out: those that are being
// sent, and those that had no answer, for maxOrderDelay. Any incarnation under the ID may carry
// them out, so the record outlives sessions. The zero value is ready to use.
type outstandingStarts struct {
	mu      sync.Mutex
	workers map[string]*workerOrders
}

// workerOrders holds the outstanding start orders for a worker ID.
type workerOrders struct {
	orders map[attemptKey]outstandingOrder
	// unknownUntil is the time from which no order of an earlier leader is outstanding, 0 if
	// there is none.
	unknownUntil time.Duration
}

// outstandingOrder is the start order for an attempt.
type outstandingOrder struct {
	sending bool // a try is being sent
	until   time.Duration
	// atMostOne is set if at most one try was sent, by an earlier leader.
	atMostOne bool
}

func (o outstandingOrder) isOutstanding(now time.Duration) bool { return o.sending || now < o.until }

// worker returns the orders for a worker ID and creates them if needed. The caller holds s.mu.
func (s *outstandingStarts) worker(id string) *workerOrders {
	w := s.workers[id]
	if w == nil {
		if s.workers == nil {
			s.workers = map[string]*workerOrders{}
		}
		w = &workerOrders{orders: map[attemptKey]outstandingOrder{}}
		s.workers[id] = w
	}
	return w
}

// set stores the record of an order, or removes an empty one.
func (w *workerOrders) set(k attemptKey, o outstandingOrder) {
	if o == (outstandingOrder{}) {
		delete(w.orders, k)
		return
	}
	w.orders[k] = o
}

// trySending records that a try of an order is about to be sent.
func (s *outstandingStarts) trySending(worker string, k attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(worker)
	o := w.orders[k]
	o.sending = true
	w.set(k, o)
}

// tryAnswered records that the try has been answered or was not sent.
func (s *outstandingStarts) tryAnswered(worker string, k attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(worker)
	o := w.orders[k]
	o.sending = false
	w.set(k, o)
}

// tryUnanswered records at the time now that the try had no answer. It returns whether it is the
// first one.
func (s *outstandingStarts) tryUnanswered(worker string, k attemptKey, now time.Duration) (isFirst bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(worker)
	isFirst = w.orders[k].until == 0
	w.set(k, outstandingOrder{until: now + maxOrderDelay})
	return isFirst
}

// addEarlier records the orders of earlier leaders that may have had no answer. The leadership was
// theirs alone, so all were sent before the term began. An attempt without the mark of an
// unanswered try may have had one if its leader ended before it committed the mark; this counts
// only where workers return.
func (s *outstandingStarts) addEarlier(worker *cell.Worker, began time.Duration, workersReturn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := began + maxOrderDelay
	if worker.HasUnansweredStarts() {
		s.worker(worker.ID).unknownUntil = until
	}
	for task, a := range worker.Attempts {
		if a.Unanswered || workersReturn {
			s.worker(worker.ID).set(attemptKey{task, a.Run}, outstandingOrder{until: until, atMostOne: !a.Unanswered})
		}
	}
}

// attemptListed records that an incarnation lists an attempt: it has carried out a try.
func (s *outstandingStarts) attemptListed(worker string, k attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workers[worker]; w != nil && w.orders[k].atMostOne {
		w.set(k, outstandingOrder{})
	}
}

// mayArrive reports whether an order to start an attempt may still be carried out under the
// worker's ID.
func (s *outstandingStarts) mayArrive(worker string, k attemptKey, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[worker]
	return w != nil && w.orders[k].isOutstanding(now)
}

// hasUnanswered reports whether an order without an answer may still be carried out under the
// worker's ID.
func (s *outstandingStarts) hasUnanswered(worker string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[worker]
	if w == nil {
		return false
	}
	unanswered := now < w.unknownUntil
	for k, o := range w.orders {
		if now < o.until {
			unanswered = true
		} else if !o.sending {
			w.set(k, outstandingOrder{})
		}
	}
	return unanswered
}

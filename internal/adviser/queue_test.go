package adviser

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/internal/cellapi"
)

// fakeService works on one call at a time in the order of arrival. It finishes a call also
// if the caller has given up.
type fakeService struct {
	takes time.Duration

	mu     sync.Mutex
	idleAt time.Time
	calls  int
	// inProgress counts the calls that the service has and has not finished.
	inProgress, maxInProgress int
}

func (s *fakeService) Ask(ctx context.Context, _ *cellapi.AdviceRequest) (*cellapi.AdviceReply, error) {
	s.mu.Lock()
	s.calls++
	s.inProgress++
	s.maxInProgress = max(s.maxInProgress, s.inProgress)
	if now := time.Now(); s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(s.takes)
	done := time.After(time.Until(s.idleAt))
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		<-done
		s.mu.Lock()
		s.inProgress--
		s.mu.Unlock()
		close(finished)
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-finished:
		return &cellapi.AdviceReply{ValidityMS: 1500}, nil
	}
}

// counts returns the number of calls and the most that were in progress at a time.
func (s *fakeService) counts() (calls, maxInProgress int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.maxInProgress
}

// ask makes requests at the same time and returns how many were answered.
func ask(q *Queue, requests int, request cellapi.AdviceRequest) int {
	var answered int
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range requests {
		wait.Go(func() {
			if r := q.Advise(context.Background(), &request); r.Error == "" {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return answered
}

func newTestQueue(s Service) *Queue {
	return NewQueue(s, slog.New(slog.DiscardHandler), tally.NoopScope)
}

// Guards against calls that cannot be answered before their time limit but take the
// service's time, so that the requests behind them are too late as well.
func TestCallsWithoutEnoughTimeAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{takes: 100 * time.Millisecond}
		q := newTestQueue(s)
		answered := ask(q, 10, cellapi.AdviceRequest{CostMS: 100, TimeoutMS: 350})
		assert.Equal(t, answered, 3)
		calls, _ := s.counts()
		assert.Equal(t, calls, 3)
		assert.Equal(t, ask(q, 1, cellapi.AdviceRequest{CostMS: 100, TimeoutMS: 150}), 1, "the service is idle")
	})
}

// Guards against calls that wait at the service, where no one knows of them, behind a call
// whose request has reached its time limit.
func TestAbandonedCallHoldsNextOnesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{takes: 300 * time.Millisecond}
		q := newTestQueue(s)
		for range 10 {
			ask(q, 1, cellapi.AdviceRequest{CostMS: 100, TimeoutMS: 120})
		}
		time.Sleep(time.Minute)
		_, atOnce := s.counts()
		assert.Equal(t, atOnce, 1)
	})
}

// Guards against a queue that is blocked for good by a call whose answer is lost.
func TestLostAnswerDoesNotBlockQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{takes: time.Hour}
		q := newTestQueue(s)
		assert.Equal(t, ask(q, 1, cellapi.AdviceRequest{CostMS: 100, TimeoutMS: 500}), 0)
		s.mu.Lock()
		s.takes, s.idleAt = 100*time.Millisecond, time.Time{}
		s.mu.Unlock()
		assert.Equal(t, ask(q, 1, cellapi.AdviceRequest{CostMS: 100, TimeoutMS: 2000}), 1)
		time.Sleep(time.Hour) // the first call ends
	})
}

// Guards against calls that are cut off because their request, of a leader of an earlier
// version, states no cost.
func TestRequestWithoutCostIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue(&fakeService{takes: 626 * time.Millisecond})
		assert.Equal(t, ask(q, 1, cellapi.AdviceRequest{TimeoutMS: 2000}), 1)
	})
}

// costService takes the stated cost of a call.
type costService struct{}

func (costService) Ask(ctx context.Context, q *cellapi.AdviceRequest) (*cellapi.AdviceReply, error) {
	select {
	case <-time.After(time.Duration(q.CostMS) * time.Millisecond):
		return &cellapi.AdviceReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against short requests that time out behind a long one that the leader sent after
// them and that overtook them on its connection.
func TestOvertakenRequestsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQueue(costService{})
		later := make(chan int, 2)
		for _, timeout := range []int64{1026, 1026 + 5*16 + 626} {
			go func() { later <- ask(q, 1, cellapi.AdviceRequest{CostMS: 626, TimeoutMS: timeout}) }()
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, ask(q, 5, cellapi.AdviceRequest{CostMS: 16, TimeoutMS: 1026 + 5*16}), 5)
		assert.Equal(t, <-later+<-later, 2)
	})
}

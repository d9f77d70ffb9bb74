package standin

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

// Behaviour describes how emulated targets run work, and which faults they have.
type Behaviour struct {
	// Speed divides run times. 1 is the nominal speed; values up to 0 count as 1.
	Speed float64
	// FailAll makes every run fail.
	FailAll bool
	// LoseReplies is the probability, from 0 to 1, that the answer to a call is lost.
	LoseReplies float64
	// DelayReplies is the delay before the answer to a call is sent.
	DelayReplies time.Duration
	// UsageLag is the age of the usage that a worker reports.
	UsageLag time.Duration
	// SizeFactor is the ratio of the reported usage of a task to its declared size; at
	// 0 no usage is reported.
	SizeFactor float64
}

// Work is the JSON object in the payload of a task or the body of a call. It sets
// the run time, in ms, and whether the run fails.
type Work struct {
	RunMs int64 `json:"run_ms"`
	Fail  bool  `json:"fail"`
}

// defaultRunTime is the run time of work whose payload does not set it.
const defaultRunTime = 20 * time.Millisecond

// parseWork returns the work in a payload. Payloads of any other form give work with
// the default run time.
func parseWork(payload []byte) Work {
	w := Work{RunMs: defaultRunTime.Milliseconds()}
	_ = json.Unmarshal(payload, &w)
	return w
}

// runTime returns how long a target takes for the work.
func (b *Behaviour) runTime(w Work) time.Duration {
	speed := b.Speed
	if speed <= 0 {
		speed = 1
	}
	return time.Duration(float64(w.RunMs) / speed * float64(time.Millisecond))
}

// randomSource is a seeded source of random numbers that goroutines can share.
type randomSource struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{r: rand.New(rand.NewPCG(seed, seed))}
}

// chance returns true with probability p.
func (s *randomSource) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Float64() < p
}

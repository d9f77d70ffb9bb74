package standin

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

// Behaviour is how emulated targets differ from perfect ones.
type Behaviour struct {
	// Speed divides run times; 1 is nominal.
	Speed float64
	// FailAll makes every run fail.
	FailAll bool
	// LoseReplies is the probability that an answer to a call is not sent.
	LoseReplies float64
	// DelayReplies is a delay before answers to calls are sent.
	DelayReplies time.Duration
	// UsageLag is how old reported usage is.
	UsageLag time.Duration
	// SizeFactor multiplies declared sizes to give the usage reported.
	SizeFactor float64
}

// Work is what a payload or call body may ask of an emulated target.
type Work struct {
	RunMs int64 `json:"run_ms"`
	Fail  bool  `json:"fail"`
}

// defaultRun is the run time of work whose payload does not say.
const defaultRun = 20 * time.Millisecond

func parseWork(payload []byte) Work {
	w := Work{RunMs: defaultRun.Milliseconds()}
	_ = json.Unmarshal(payload, &w)
	return w
}

func (b *Behaviour) runTime(w Work) time.Duration {
	speed := b.Speed
	if speed <= 0 {
		speed = 1
	}
	return time.Duration(float64(w.RunMs) / speed * float64(time.Millisecond))
}

// source is a seeded random source shared by goroutines.
type source struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newSource(seed uint64) *source { return &source{r: rand.New(rand.NewPCG(seed, seed))} }

func (s *source) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Float64() < p
}

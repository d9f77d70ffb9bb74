package share

import (
	"math"
	"time"

	"laburnumgrade/internal/structs"
)

// Rank is a priority: work of a lower rank is always ordered before work of a
// higher one, except for starved jobs.
type Rank int

// The ranks, in order. RankCount is their number.
const (
	RankUrgent Rank = iota
	RankService
	RankBatch // batch jobs and gangs
	RankCount
)

// RankOf returns the rank of a job.
func RankOf(class structs.Class, urgent bool) Rank {
	switch {
	case urgent:
		return RankUrgent
	case class == structs.ClassService:
		return RankService
	default:
		return RankBatch
	}
}

// Policy orders the jobs within a rank and bounds how long a job can be bypassed
// by others.
type Policy struct {
	// FairnessWeight is the weight, 0 to 1, of the team's share ratio in the order.
	// With 0 only waiting time and run time count, with 1 only the share ratio.
	FairnessWeight float64
	// RunTimeFactor is the delay of a job in the order per unit of its predicted
	// run time, so that short jobs go before long ones.
	RunTimeFactor float64
	// MaxBypass is the waiting time from which a job is starved. Starved jobs are
	// ordered before other work, within the limits of StarvedEvery and
	// MaxStarvedShareRatio. It also bounds the delay by run time.
	MaxBypass time.Duration
	// StarvedEvery is the number of successive placements of which at least one is
	// for the longest waiting starved job, if there is one. With 1 starved jobs go
	// before all others, which under a lasting backlog is the order of submission.
	StarvedEvery int
}

// Default parameters of the policy.
const (
	DefaultFairnessWeight = 0.5
	DefaultRunTimeFactor  = 10
	DefaultMaxBypass      = 10 * time.Minute
	DefaultStarvedEvery   = 4
)

// waitPerShareRatio is the waiting time that offsets a difference of 1 in the
// share ratio at a fairness weight of 0.5.
const waitPerShareRatio = 60 * time.Second

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		FairnessWeight: DefaultFairnessWeight, RunTimeFactor: DefaultRunTimeFactor,
		MaxBypass: DefaultMaxBypass, StarvedEvery: DefaultStarvedEvery,
	}
}

// OrderTime returns the time that stands for a job's waiting time in Score: its
// submission plus a delay in proportion to its predicted run time. The delay is at
// most MaxBypass, so a job submitted MaxBypass after another one never precedes it
// because of its run time.
func (p *Policy) OrderTime(submitted, runTime time.Duration) time.Duration {
	delay := float64(runTime) * p.RunTimeFactor
	return submitted + time.Duration(min(delay, float64(p.MaxBypass)))
}

// Score returns the score of a job from its OrderTime and its team's share ratio,
// weighted by FairnessWeight. Jobs with a lower score go first.
func (p *Policy) Score(orderTime, now time.Duration, shareRatio float64) float64 {
	waiting := float64(orderTime-now) / float64(waitPerShareRatio)
	return (1-p.FairnessWeight)*waiting + p.FairnessWeight*shareRatio
}

// Starved reports whether a job has waited for MaxBypass or longer.
func (p *Policy) Starved(submitted, now time.Duration) bool {
	return now-submitted >= p.MaxBypass
}

// MaxStarvedShareRatio returns the share ratio up to which a team's starved jobs
// are ordered before other work. Above it the jobs wait because of the team's own
// usage.
func (p *Policy) MaxStarvedShareRatio() float64 {
	if p.FairnessWeight <= 0 {
		return math.Inf(1)
	}
	return 1 / p.FairnessWeight
}

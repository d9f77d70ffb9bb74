package share

import (
	"math"
	"time"

	"laburnumgrade/internal/structs"
)

// Rank orders kinds of work strictly; a lower rank goes first.
type Rank int

// Ranks of work.
const (
	RankUrgent Rank = iota
	RankService
	RankBatch
	RankCount
)

// RankOf returns the rank of work.
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

// Policy orders work within a rank.
type Policy struct {
	// FairnessWeight is 0 to order by waiting time only and 1 to order by
	// closeness to share only.
	FairnessWeight float64
	// RunTimeFactor is how much later a job is ordered per unit of predicted run
	// time.
	RunTimeFactor float64
	// MaxBypass is the wait after which a job is starved: it is ordered before
	// other work, by the rules of StarvedEvery and MaxStarvedShareRatio.
	MaxBypass time.Duration
	// StarvedEvery is the number of decisions in a row of which at least one goes
	// to the longest waiting starved job. 1 orders starved jobs before all
	// others, and under a lasting backlog makes the order first come first served.
	StarvedEvery int
}

// Defaults of the policy.
const (
	DefaultFairnessWeight = 0.5
	DefaultRunTimeFactor  = 10
	DefaultMaxBypass      = 10 * time.Minute
	DefaultStarvedEvery   = 4
)

// excessScale is the waiting time that counts as much as an excess of one
// whole share at weight 0.5.
const excessScale = 60 * time.Second

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		FairnessWeight: DefaultFairnessWeight, RunTimeFactor: DefaultRunTimeFactor,
		MaxBypass: DefaultMaxBypass, StarvedEvery: DefaultStarvedEvery,
	}
}

// OrderTime is the time by which a job is ordered on the side of waiting time: its
// submission, later by its predicted run time. The penalty is at most
// MaxBypass, so no job submitted MaxBypass after another one precedes it.
func (p *Policy) OrderTime(submitted, runTime time.Duration) time.Duration {
	penalty := float64(runTime) * p.RunTimeFactor
	return submitted + time.Duration(min(penalty, float64(p.MaxBypass)))
}

// Score blends a job's turn with its team's excess; less goes first.
func (p *Policy) Score(turn, now time.Duration, excess float64) float64 {
	waiting := float64(turn-now) / float64(excessScale)
	return (1-p.FairnessWeight)*waiting + p.FairnessWeight*excess
}

// Starved reports whether a job has waited MaxBypass.
func (p *Policy) Starved(submitted, now time.Duration) bool {
	return now-submitted >= p.MaxBypass
}

// MaxStarvedShareRatio returns the excess of a team from which its starved jobs do
// not go first: it is then the team's own use that keeps them waiting.
func (p *Policy) MaxStarvedShareRatio() float64 {
	if p.FairnessWeight <= 0 {
		return math.Inf(1)
	}
	return 1 / p.FairnessWeight
}

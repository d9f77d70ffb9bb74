package quota

import (
	"cmp"
	"slices"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// SelectForShedding chooses attempts that are to give back at least the excess, and how. Work
// that loses least goes first: what may be checkpointed, then what may be
// preempted, then what is idempotent, and last what can only be stopped; among
// equals the newest. Attempts that are already being ended count first.
func SelectForShedding(candidates []state.AttemptWithSpec, excess structs.Resources, reason string) []*statev1.ShedAttempt {
	var open []state.AttemptWithSpec
	for _, c := range candidates {
		if c.Attempt.Stopping || c.Attempt.Checkpointing {
			excess = excess.Sub(c.Attempt.Size)
			continue
		}
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b state.AttemptWithSpec) int {
		return cmp.Or(cmp.Compare(loss(&a.Spec), loss(&b.Spec)), cmp.Compare(b.Attempt.ID, a.Attempt.ID))
	})
	var list []*statev1.ShedAttempt
	for i := range open {
		if !relieves(open[i].Attempt.Size, excess) {
			continue
		}
		excess = excess.Sub(open[i].Attempt.Size)
		list = append(list, &statev1.ShedAttempt{AttemptId: open[i].Attempt.ID, Means: means(&open[i].Spec), Reason: reason})
	}
	return list
}

// SelectForThrottling chooses, of a worker whose capacity fell below what is committed, the
// attempts that are to be throttled because their documents allow it. What they
// relieve is not freed; the rest is shed.
func SelectForThrottling(candidates []state.AttemptWithSpec, excess structs.Resources, reason string) (list []*statev1.ShedAttempt, rest structs.Resources) {
	for i := range candidates {
		c := &candidates[i]
		if !c.Spec.MayThrottle || !relieves(c.Attempt.Size, excess) {
			continue
		}
		excess = excess.Sub(c.Attempt.Size)
		if !c.Attempt.Throttled {
			list = append(list, &statev1.ShedAttempt{AttemptId: c.Attempt.ID, Means: statev1.ShedAttempt_THROTTLE, Reason: reason})
		}
	}
	return list, excess
}

// NotThrottleable returns the attempts whose documents do not allow throttling.
func NotThrottleable(candidates []state.AttemptWithSpec) []state.AttemptWithSpec {
	var list []state.AttemptWithSpec
	for _, c := range candidates {
		if !c.Spec.MayThrottle {
			list = append(list, c)
		}
	}
	return list
}

// relieves reports whether the size reduces a dimension that is in excess.
func relieves(size, excess structs.Resources) bool {
	return excess.MilliCPU > 0 && size.MilliCPU > 0 || excess.MemoryBytes > 0 && size.MemoryBytes > 0 ||
		excess.Accelerators > 0 && size.Accelerators > 0
}

func loss(s *structs.WorkSpec) int {
	switch {
	case s.MayCheckpoint:
		return 0
	case s.MayPreempt:
		return 1
	case s.Idempotent:
		return 2
	}
	return 3
}

func means(s *structs.WorkSpec) statev1.ShedAttempt_Means {
	if s.MayCheckpoint {
		return statev1.ShedAttempt_CHECKPOINT
	}
	return statev1.ShedAttempt_STOP
}

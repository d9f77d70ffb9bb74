package quota

import (
	"cmp"
	"slices"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// SelectForShedding returns the attempts to end so that at least the excess is
// freed, and how to end each. It selects in the order of how little work is lost:
// attempts that may be checkpointed, then those that may be preempted, then those
// that are idempotent, then all others, and the newest first within each group.
// Attempts that are being stopped or checkpointed already count as freed and are not
// returned. If all candidates together are smaller than the excess, it returns all
// that reduce it.
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
		return cmp.Or(cmp.Compare(lossRank(&a.Spec), lossRank(&b.Spec)), cmp.Compare(b.Attempt.ID, a.Attempt.ID))
	})
	var list []*statev1.ShedAttempt
	for i := range open {
		if !relieves(open[i].Attempt.Size, excess) {
			continue
		}
		excess = excess.Sub(open[i].Attempt.Size)
		list = append(list, &statev1.ShedAttempt{AttemptId: open[i].Attempt.ID, Means: shedMeans(&open[i].Spec), Reason: reason})
	}
	return list
}

// SelectForThrottling returns the attempts to throttle on a worker whose capacity
// is lower than what is committed, among those whose documents allow it, and the
// rest of the excess after throttling. Attempts that are throttled already reduce
// the excess and are not returned. Throttling limits what attempts use and
// releases nothing of what is committed to them; the rest of the excess is to be
// shed.
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

// relieves reports whether freeing size reduces any resource that is in excess.
func relieves(size, excess structs.Resources) bool {
	return excess.MilliCPU > 0 && size.MilliCPU > 0 || excess.MemoryBytes > 0 && size.MemoryBytes > 0 ||
		excess.Accelerators > 0 && size.Accelerators > 0
}

// lossRank orders attempts by how much work is lost when they are ended.
func lossRank(s *structs.WorkSpec) int {
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

func shedMeans(s *structs.WorkSpec) statev1.ShedAttempt_Means {
	if s.MayCheckpoint {
		return statev1.ShedAttempt_CHECKPOINT
	}
	return statev1.ShedAttempt_STOP
}

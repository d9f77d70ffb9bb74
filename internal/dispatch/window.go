package dispatch

import (
	"slices"
	"time"

	"laburnumgrade/internal/cell"
)

const (
	// maxPlanTime is how long a plan may take until the next one begins with the first steps
	// again. Advice is valid for some seconds: a step whose next turn comes later than that gets
	// advice again and again and never starts.
	maxPlanTime = 250 * time.Millisecond
	// firstSteps is the number of steps that each plan begins with.
	firstSteps = 128
)

// planWindow selects the steps that a plan begins with if the last one did not reach all.
type planWindow struct {
	// unreached holds the steps that the last plan has not reached, in its order.
	unreached []cell.StepKey
}

// record records the steps that a plan has not reached.
func (w *planWindow) record(rest []*readyStep) {
	w.unreached = w.unreached[:0]
	for _, rs := range rest {
		w.unreached = append(w.unreached, rs.key)
	}
}

// arrange returns the steps in the order in which a plan looks at them. readySteps is in the
// order of rank. If the last plan was cut short, the first steps are followed by those in
// service, which could use what they were told, then by those from where it ended.
func (w *planWindow) arrange(readySteps []*readyStep, inService map[cell.StepKey]time.Duration) []*readyStep {
	if len(w.unreached) == 0 || len(readySteps) <= firstSteps {
		return readySteps
	}
	list, rest := slices.Clone(readySteps[:firstSteps]), make([]*readyStep, 0, len(readySteps)-firstSteps)
	places := map[cell.StepKey]int{}
	for _, rs := range readySteps[firstSteps:] {
		if _, advised := inService[rs.key]; advised {
			list = append(list, rs)
			continue
		}
		places[rs.key] = len(rest)
		rest = append(rest, rs)
	}
	from := 0
	for _, key := range w.unreached {
		if place, present := places[key]; present {
			from = place
			break
		}
	}
	return slices.Concat(list, rest[from:], rest[:from])
}

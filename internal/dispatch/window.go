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
	// next is the step that the last plan would have looked at next; it is valid if wasCut is
	// set.
	next   cell.StepKey
	wasCut bool
}

// cut records the steps that a plan has not reached.
func (w *planWindow) cut(rest []*readyStep) {
	w.wasCut = len(rest) > 0
	if w.wasCut {
		w.next = rest[0].key
	}
}

// arrange returns the steps in the order in which a plan looks at them. readySteps is in the
// order of rank. If the last plan was cut short, the first steps are followed by those in
// service, which could use what they were told, then by those from where it ended.
func (w *planWindow) arrange(readySteps []*readyStep, inService map[cell.StepKey]time.Duration) []*readyStep {
	if !w.wasCut || len(readySteps) <= firstSteps {
		return readySteps
	}
	list, rest := slices.Clone(readySteps[:firstSteps]), make([]*readyStep, 0, len(readySteps)-firstSteps)
	from := 0
	for _, rs := range readySteps[firstSteps:] {
		if _, served := inService[rs.key]; served {
			list = append(list, rs)
			continue
		}
		if rs.key == w.next {
			from = len(rest)
		}
		rest = append(rest, rs)
	}
	return slices.Concat(list, rest[from:], rest[:from])
}

package share

import (
	"math"
	"slices"
	"time"
)

// historySize is the number of run times kept for a document.
const historySize = 32

// historyEnough is the number of run times from which the history is used
// instead of the declaration.
const historyEnough = 3

// MaxUnderestimateFactor is the factor by which declared run times are assumed to be
// too short at worst.
const MaxUnderestimateFactor = 4

// undeclaredRunTime stands in for a run time that was not declared.
const undeclaredRunTime = time.Minute

// History is the last run times of a document's tasks, in seconds. The zero
// value is ready to use.
type History struct {
	recent []float32
	sorted []float32
	next   int
}

// Record adds a run time.
func (h *History) Record(runTime time.Duration) {
	v := float32(runTime.Seconds())
	if len(h.recent) < historySize {
		h.recent = append(h.recent, v)
	} else {
		at, _ := slices.BinarySearch(h.sorted, h.recent[h.next])
		h.sorted = slices.Delete(h.sorted, at, at+1)
		h.recent[h.next] = v
		h.next = (h.next + 1) % historySize
	}
	at, _ := slices.BinarySearch(h.sorted, v)
	h.sorted = slices.Insert(h.sorted, at, v)
}

// Predict returns the quantile q (0 to 1) of the run time. With little history
// it returns the declaration, and for quantiles above the median that times
// MaxUnderestimateFactor.
func (h *History) Predict(declared time.Duration, q float64) time.Duration {
	if len(h.sorted) >= historyEnough {
		at := int(math.Ceil(q*float64(len(h.sorted)))) - 1
		return time.Duration(float64(h.sorted[max(at, 0)]) * float64(time.Second))
	}
	if declared <= 0 {
		declared = undeclaredRunTime
	}
	if q > 0.5 {
		return declared * MaxUnderestimateFactor
	}
	return declared
}

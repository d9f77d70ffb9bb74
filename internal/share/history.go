package share

import (
	"math"
	"slices"
	"time"
)

// historySize is the number of latest run times that are kept.
const historySize = 32

// minHistory is the number of recorded run times from which predictions use them
// instead of the declared run time.
const minHistory = 3

// MaxUnderestimateFactor is the factor by which the run time of a task is assumed
// to exceed its declared or predicted run time at most.
const MaxUnderestimateFactor = 4

// defaultRunTime is used if no run time is declared.
const defaultRunTime = time.Minute

// History holds the latest run times of a document's tasks. The zero value is
// ready to use. It is not safe for concurrent use.
type History struct {
	recent []float32 // seconds, a ring once it has historySize entries
	sorted []float32 // seconds, the same run times in ascending order
	next   int       // index of the oldest entry of the ring
}

// Record adds a run time; beyond historySize it replaces the oldest.
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

// Predict returns the quantile q (0 to 1) of the recorded run times. With fewer
// than minHistory of them it returns the declared run time, multiplied by
// MaxUnderestimateFactor for quantiles above the median. declared is 0 if no run
// time is declared; a minute is used then.
func (h *History) Predict(declared time.Duration, q float64) time.Duration {
	if len(h.sorted) >= minHistory {
		at := int(math.Ceil(q*float64(len(h.sorted)))) - 1
		return time.Duration(float64(h.sorted[max(at, 0)]) * float64(time.Second))
	}
	if declared <= 0 {
		declared = defaultRunTime
	}
	if q > 0.5 {
		return declared * MaxUnderestimateFactor
	}
	return declared
}

package overload

import (
	"time"

	"laburnumgrade/internal/structs"
)

// Work is an amount of work: resources times the seconds for which they are used, and task
// starts. As a rate it is the same for each second.
type Work struct {
	CoreSeconds        float64
	GiBSeconds         float64
	AcceleratorSeconds float64
	Starts             float64
}

const (
	milliPerCore = 1000
	bytesPerGiB  = 1 << 30
)

// TaskWork returns the work of n tasks of a size that each run for a time.
func TaskWork(size structs.Resources, run time.Duration, n float64) Work {
	w := resourceRate(size).Scale(run.Seconds() * n)
	w.Starts = n
	return w
}

// resourceRate returns resources as work for each second.
func resourceRate(r structs.Resources) Work {
	return Work{CoreSeconds: float64(r.MilliCPU) / milliPerCore, GiBSeconds: float64(r.MemoryBytes) / bytesPerGiB, AcceleratorSeconds: float64(r.Accelerators)}
}

// Add returns the sum of w and o.
func (w Work) Add(o Work) Work {
	return Work{w.CoreSeconds + o.CoreSeconds, w.GiBSeconds + o.GiBSeconds, w.AcceleratorSeconds + o.AcceleratorSeconds, w.Starts + o.Starts}
}

// Sub returns w minus o. A dimension of the result may be negative.
func (w Work) Sub(o Work) Work { return w.Add(o.Scale(-1)) }

// Scale returns w times f.
func (w Work) Scale(f float64) Work {
	return Work{w.CoreSeconds * f, w.GiBSeconds * f, w.AcceleratorSeconds * f, w.Starts * f}
}

// Max returns the larger amount in each dimension.
func (w Work) Max(o Work) Work {
	return Work{max(w.CoreSeconds, o.CoreSeconds), max(w.GiBSeconds, o.GiBSeconds), max(w.AcceleratorSeconds, o.AcceleratorSeconds), max(w.Starts, o.Starts)}
}

// longest returns the largest of the times that the dimensions of the work take at a rate. A
// dimension without a rate does not count: no worker has it, and what waits for it holds up
// nothing else.
func (w Work) longest(rate Work) time.Duration {
	seconds := 0.0
	for _, d := range [...][2]float64{{w.CoreSeconds, rate.CoreSeconds}, {w.GiBSeconds, rate.GiBSeconds}, {w.AcceleratorSeconds, rate.AcceleratorSeconds}, {w.Starts, rate.Starts}} {
		switch {
		case d[0] <= 0 || d[1] <= 0:
		case d[1]*maxWait.Seconds() <= d[0]:
			return maxWait
		default:
			seconds = max(seconds, d[0]/d[1])
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxWait bounds expected waits.
const maxWait = time.Hour

package control

import (
	"context"
	"sync"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

const (
	// usageWindow is how long the usage of an attempt must stay lower before the size
	// committed for it is lowered.
	usageWindow = 30 * time.Second
	// usageSteps is the number of steps into which the declared size is divided. A
	// commitment is raised by whole steps, so that slowly growing usage takes few commands.
	usageSteps = 8
)

// usageTable holds the peak usage of attempts, by worker and attempt id, as reported to
// this leader.
type usageTable struct {
	mu       sync.Mutex
	since    time.Duration
	byWorker map[string]map[uint64]usagePeak
}

// usagePeak is the largest usage of an attempt in the window that began at since.
type usagePeak struct {
	since time.Duration
	peak  structs.Resources
	// proposed is the largest size proposed in the window. A size that the state did not
	// grant is not proposed again until the window has passed.
	proposed structs.Resources
}

func newUsageTable() *usageTable { return &usageTable{byWorker: map[string]map[uint64]usagePeak{}} }

// report records the usage that a worker reports and returns the attempts whose committed
// sizes are to be changed.
func (t *usageTable) report(g *DataCentreGroup, r *apiv1.HeartbeatRequest, since, now time.Duration) []*statev1.AttemptUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since != t.since {
		t.since = since
		t.byWorker = map[string]map[uint64]usagePeak{}
	}
	before := t.byWorker[r.WorkerId]
	delete(t.byWorker, r.WorkerId)
	var changes []*statev1.AttemptUsage
	for _, reported := range r.Attempts {
		if reported.Usage == nil {
			continue
		}
		a, open := g.Store.Attempt(reported.AttemptId)
		if !open || a.WorkerID != r.WorkerId || a.Incarnation != r.Incarnation {
			continue
		}
		usage := structs.ResourcesFromProto(reported.Usage).Max(structs.Resources{})
		p, known := before[a.ID]
		if !known {
			p.since = now
		}
		p.peak = p.peak.Max(usage)
		if size, due := p.commitment(&a, usage, now); due {
			changes = append(changes, &statev1.AttemptUsage{
				AttemptId: a.ID, WorkerId: r.WorkerId, Incarnation: r.Incarnation, Usage: usage.Proto(), Size: size.Proto(),
			})
		}
		if now >= p.since+usageWindow {
			p = usagePeak{since: now, peak: usage}
		}
		if t.byWorker[r.WorkerId] == nil {
			t.byWorker[r.WorkerId] = map[uint64]usagePeak{}
		}
		t.byWorker[r.WorkerId][a.ID] = p
	}
	return changes
}

// commitment returns the size to be committed for an attempt, and whether to propose it
// now: at once if the attempt uses more than is committed, and after the window if it used
// less.
func (p *usagePeak) commitment(a *structs.Attempt, usage structs.Resources, now time.Duration) (structs.Resources, bool) {
	declared := state.DeclaredSize(a)
	wanted := roundUp(p.peak, declared).Max(declared)
	if !usage.Fits(a.Size) {
		return a.Size.Max(wanted), !wanted.Fits(p.proposed) || now >= p.since+usageWindow
	}
	if now < p.since+usageWindow {
		return structs.Resources{}, false
	}
	return wanted, wanted != a.Size || a.Throttled
}

// roundUp rounds usage above the declared size up to a whole step.
func roundUp(usage, declared structs.Resources) structs.Resources {
	up := func(usage, declared int64) int64 {
		step := max(declared/usageSteps, 1)
		if usage <= declared {
			return usage
		}
		return declared + (usage-declared+step-1)/step*step
	}
	return structs.Resources{
		MilliCPU: up(usage.MilliCPU, declared.MilliCPU), MemoryBytes: up(usage.MemoryBytes, declared.MemoryBytes),
		Accelerators: up(usage.Accelerators, declared.Accelerators),
	}
}

// commitUsage proposes the changes of committed sizes that follow from a worker's report.
// If the proposal is lost, the next report leads to it again.
func (d *DataCentreServer) commitUsage(ctx context.Context, g *DataCentreGroup, since time.Duration, r *apiv1.HeartbeatRequest) {
	changes := g.usage.report(g, r, since, d.server.clock.Now())
	if len(changes) == 0 {
		return
	}
	if d.server.proposeAndLog(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ResizeAttempts{ResizeAttempts: &statev1.ResizeAttempts{
		Attempts: changes,
	}}}) {
		g.usage.recordProposed(r.WorkerId, changes)
	}
}

// recordProposed records the sizes that were proposed. The state commits them as far as
// the worker has room.
func (t *usageTable) recordProposed(worker string, changes []*statev1.AttemptUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		if p, known := t.byWorker[worker][c.AttemptId]; known {
			p.proposed = p.proposed.Max(structs.ResourcesFromProto(c.Size))
			t.byWorker[worker][c.AttemptId] = p
		}
	}
}

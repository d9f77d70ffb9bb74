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
	// usageWindow is how long usage must stay lower before less is committed.
	usageWindow = 30 * time.Second
	// usageSteps is the number of steps in a declaration by which a commitment is
	// raised, so that a slowly growing usage needs few commands.
	usageSteps = 8
)

// usageTable holds the peak usage of attempts, as reported to this leader.
type usageTable struct {
	mu       sync.Mutex
	since    time.Duration
	byWorker map[string]map[uint64]usagePeak
}

// usagePeak is the largest usage since a point in time.
type usagePeak struct {
	since time.Duration
	peak  structs.Resources
	// asked is the largest size proposed in this time; what was not granted is
	// not proposed again until the window has passed.
	asked structs.Resources
}

func newUsageTable() *usageTable { return &usageTable{byWorker: map[string]map[uint64]usagePeak{}} }

// report enters what a worker reports and returns the sizes to commit where
// they differ from what is committed.
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
		if size, due := p.size(&a, usage, now); due {
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

// size returns what is to be committed for an attempt, and whether that is to
// be proposed: at once if it uses more, after the window if it used less.
func (p *usagePeak) size(a *structs.Attempt, usage structs.Resources, now time.Duration) (structs.Resources, bool) {
	declared := state.DeclaredSize(a)
	wanted := roundUp(p.peak, declared).Max(declared)
	if !usage.Fits(a.Size) {
		return a.Size.Max(wanted), !wanted.Fits(p.asked) || now >= p.since+usageWindow
	}
	if now < p.since+usageWindow {
		return structs.Resources{}, false
	}
	return wanted, wanted != a.Size || a.Throttled
}

// roundUp raises usage above the declaration to a whole step.
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

// followUsage commits the changes that a worker's report calls for. A lost
// proposal is made again with the next report.
func (d *DataCentreServer) followUsage(ctx context.Context, g *DataCentreGroup, since time.Duration, r *apiv1.HeartbeatRequest) {
	changes := g.usage.report(g, r, since, d.server.clock.Now())
	if len(changes) == 0 {
		return
	}
	if d.server.try(ctx, g, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ResizeAttempts{ResizeAttempts: &statev1.ResizeAttempts{Attempts: changes}}}) {
		g.usage.proposed(r.WorkerId, changes)
	}
}

// proposed notes which sizes were committed as far as there was room.
func (t *usageTable) proposed(worker string, changes []*statev1.AttemptUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		if p, known := t.byWorker[worker][c.AttemptId]; known {
			p.asked = p.asked.Max(structs.ResourcesFromProto(c.Size))
			t.byWorker[worker][c.AttemptId] = p
		}
	}
}

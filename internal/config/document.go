package config

import (
	"fmt"
	"strings"
	"time"

	"laburnumgrade/internal/structs"
)

// Bounds of a document. The products of count and size stay within int64.
const (
	maxCommandBytes  = 4096
	maxTasks         = 100_000
	maxTaskCPU       = 4096 * milliPerCore
	maxTaskMemory    = 16 << 40
	maxLimitCPU      = 100_000_000 * milliPerCore
	maxLimitMemory   = 1 << 60
	maxAccelerators  = 1_000_000
	maxShare         = 1_000_000
	maxQueue         = 10_000_000
	maxRunTime       = 30 * 24 * time.Hour
	maxDeadline      = 30 * 24 * time.Hour
	maxCutGrace      = 24 * time.Hour
	defaultQueue     = 1000
	defaultShare     = 1
	defaultTaskCount = 1
)

// Document is what a team says about one of its services.
type Document struct {
	// Spec has no version: the fleet group numbers documents.
	Spec structs.WorkSpec
	// Share is the team's weight against other teams.
	Share int64
	// Limit is the most that the team may have running across the fleet.
	Limit structs.Resources
	// CutGrace is how long the team's work goes on being accepted by processes
	// that have lost contact with the fleet group.
	CutGrace time.Duration
}

var (
	classWords  = []string{"service", "batch", "gang"}
	classKind   = choiceKind(classWords, []structs.Class{structs.ClassService, structs.ClassBatch, structs.ClassGang})
	actionWords = []string{"wait", "refuse"}
	actionKind  = choiceKind(actionWords, []bool{true, false})
)

// ParseDocument reads and checks a document. The file name is only used in the
// error, which is Faults.
func ParseDocument(file string, text []byte) (*Document, error) {
	r := newReader(file, text)
	d := &Document{}
	d.read(r)
	if err := r.finish(); err != nil {
		return nil, err
	}
	return d, nil
}

// read reads and checks all sections.
func (d *Document) read(r *reader) {
	d.readService(r)
	d.readSize(r)
	d.readLimits(r)
	d.readWhenFull(r)
	d.checkTogether(r)
}

// readService reads the sections service and tasks.
func (d *Document) readService(r *reader) {
	d.Spec.Team = required(r, "service", "team", nameKind)
	d.Spec.Service = required(r, "service", "name", nameKind)
	d.Spec.Command = required(r, "service", "command", textKind(maxCommandBytes))
	d.Spec.Class = required(r, "service", "class", classKind)
	d.Spec.Idempotent = optional(r, "service", "idempotent", yesNoKind, false)
	d.Spec.Exclusive = optional(r, "service", "exclusive", yesNoKind, false)
	d.Spec.OpenQueue = optional(r, "service", "open_queue", yesNoKind, false)
	d.Spec.Tasks = int(optional(r, "tasks", "count", wholeKind(1, maxTasks), defaultTaskCount))
	d.Spec.RunTime = optional(r, "tasks", "run_time", durationKind(0, maxRunTime), 0)
	d.Spec.Deadline = optional(r, "tasks", "deadline", durationKind(0, maxDeadline), 0)
}

// readSize reads the size of one task.
func (d *Document) readSize(r *reader) {
	d.Spec.Size.MilliCPU = required(r, "size", "cpu", cpuKind(1, maxTaskCPU))
	d.Spec.Size.MemoryBytes = required(r, "size", "memory", memoryKind(1, maxTaskMemory))
	d.Spec.Size.Accelerators = optional(r, "size", "accelerators", wholeKind(0, maxAccelerators), 0)
}

// readLimits reads the team's share and upper limit.
func (d *Document) readLimits(r *reader) {
	d.Share = optional(r, "limits", "share", wholeKind(1, maxShare), defaultShare)
	d.Limit.MilliCPU = required(r, "limits", "cpu", cpuKind(1, maxLimitCPU))
	d.Limit.MemoryBytes = required(r, "limits", "memory", memoryKind(1, maxLimitMemory))
	d.Limit.Accelerators = optional(r, "limits", "accelerators", wholeKind(0, maxAccelerators), 0)
	d.Spec.QueueLimit = int(optional(r, "limits", "queue", wholeKind(1, maxQueue), defaultQueue))
}

// readWhenFull reads what may be done with the work when the cell is full.
func (d *Document) readWhenFull(r *reader) {
	d.Spec.WaitWhenFull = optional(r, "when_full", "action", actionKind, true)
	d.Spec.MayThrottle = optional(r, "when_full", "may_throttle", yesNoKind, false)
	d.Spec.MayCheckpoint = optional(r, "when_full", "may_checkpoint", yesNoKind, false)
	d.Spec.MayPreempt = optional(r, "when_full", "may_preempt", yesNoKind, false)
	d.CutGrace = optional(r, "when_full", "cut_grace", durationKind(0, maxCutGrace), 0)
}

// checkTogether checks values against each other where each by itself is good.
func (d *Document) checkTogether(r *reader) {
	s := d.Spec
	if r.good("service.class", "tasks.count") && s.Class == structs.ClassGang && s.Tasks < 2 {
		r.fault("tasks", "count", fmt.Sprint(s.Tasks), "at least 2 for class gang")
	}
	if r.good("service.idempotent", "when_full.may_preempt", "when_full.may_checkpoint") &&
		s.MayPreempt && !s.Idempotent && !s.MayCheckpoint {
		r.fault("when_full", "may_preempt", "yes without may_checkpoint",
			"no, unless may_checkpoint = yes or idempotent = yes: work that is not idempotent cannot start again")
	}
	if r.good("tasks.count", "limits.queue") && s.Tasks > s.QueueLimit {
		r.fault("limits", "queue", fmt.Sprint(s.QueueLimit), fmt.Sprintf("at least tasks.count, %d", s.Tasks))
	}
	d.checkLimit(r)
}

// checkLimit checks that the team's limit holds what must run at the same
// time: every task of a service or gang, one task of a batch job.
func (d *Document) checkLimit(r *reader) {
	if !r.good("service.class", "tasks.count") {
		return
	}
	together := int64(d.Spec.Tasks)
	if d.Spec.Class == structs.ClassBatch {
		together = 1
	}
	need := d.Spec.Size.Scale(together)
	because := fmt.Sprintf("for %d task(s) at once", together)
	if r.good("size.cpu", "limits.cpu") && need.MilliCPU > d.Limit.MilliCPU {
		r.fault("limits", "cpu", FormatCPU(d.Limit.MilliCPU), "at least "+FormatCPU(need.MilliCPU)+" "+because)
	}
	if r.good("size.memory", "limits.memory") && need.MemoryBytes > d.Limit.MemoryBytes {
		r.fault("limits", "memory", FormatBytes(d.Limit.MemoryBytes), "at least "+FormatBytes(need.MemoryBytes)+" "+because)
	}
	if r.good("size.accelerators", "limits.accelerators") && need.Accelerators > d.Limit.Accelerators {
		r.fault("limits", "accelerators", fmt.Sprint(d.Limit.Accelerators), fmt.Sprintf("at least %d %s", need.Accelerators, because))
	}
}

// String returns the document as an INI text that ParseDocument accepts.
func (d *Document) String() string {
	var p printer
	s := d.Spec
	p.section("service")
	p.key("team", s.Team)
	p.key("name", s.Service)
	p.key("command", s.Command)
	p.key("class", className(s.Class))
	p.key("idempotent", yesNo(s.Idempotent))
	p.key("exclusive", yesNo(s.Exclusive))
	p.key("open_queue", yesNo(s.OpenQueue))
	p.section("size")
	p.resources(s.Size)
	p.section("tasks")
	p.key("count", s.Tasks)
	p.key("run_time", s.RunTime)
	p.key("deadline", s.Deadline)
	p.section("limits")
	p.key("share", d.Share)
	p.resources(d.Limit)
	p.key("queue", s.QueueLimit)
	p.section("when_full")
	p.key("action", actionWords[boolIndex(!s.WaitWhenFull)])
	p.key("may_throttle", yesNo(s.MayThrottle))
	p.key("may_checkpoint", yesNo(s.MayCheckpoint))
	p.key("may_preempt", yesNo(s.MayPreempt))
	p.key("cut_grace", d.CutGrace)
	return p.String()
}

// className returns the word for a class.
func className(class structs.Class) string {
	if class < structs.ClassService || class > structs.ClassGang {
		return "unspecified"
	}
	return classWords[class-structs.ClassService]
}

// printer builds an INI text.
type printer struct{ strings.Builder }

// section starts a section.
func (p *printer) section(name string) {
	if p.Len() > 0 {
		p.WriteByte('\n')
	}
	fmt.Fprintf(p, "[%s]\n", name)
}

// key adds a key to the section.
func (p *printer) key(name string, value any) { fmt.Fprintf(p, "%s = %v\n", name, value) }

// resources adds the keys of an amount of resources.
func (p *printer) resources(r structs.Resources) {
	p.key("cpu", FormatCPU(r.MilliCPU))
	p.key("memory", FormatBytes(r.MemoryBytes))
	p.key("accelerators", r.Accelerators)
}

// yesNo returns the word for a switch.
func yesNo(on bool) string { return []string{"no", "yes"}[boolIndex(on)] }

// boolIndex returns 1 for true.
func boolIndex(on bool) int {
	if on {
		return 1
	}
	return 0
}

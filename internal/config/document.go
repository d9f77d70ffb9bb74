package config

import (
	"fmt"
	"strings"
	"time"

	"laburnumgrade/internal/structs"
)

// Bounds and defaults of the values in a document. CPU is in thousandths of a core.
// The bounds keep the product of task count and task size within int64.
const (
	maxCommandBytes     = 4096
	maxTasks            = 100_000
	maxTaskMilliCPU     = 4096 * milliPerCore
	maxTaskMemoryBytes  = 16 << 40
	maxLimitMilliCPU    = 100_000_000 * milliPerCore
	maxLimitMemoryBytes = 1 << 60
	maxAccelerators     = 1_000_000
	maxShare            = 1_000_000
	maxQueuedItems      = 10_000_000
	maxDeclaredRunTime  = 30 * 24 * time.Hour
	maxDeadline         = 30 * 24 * time.Hour
	maxCutGrace         = 24 * time.Hour
	defaultQueueLimit   = 1000
	defaultShare        = 1
	defaultTaskCount    = 1
)

// Document is the configuration that a team gives for one of its services.
type Document struct {
	// Spec has no version, because the fleet group assigns versions to documents.
	Spec structs.WorkSpec
	// Share is a weight in the division of capacity among teams. The weight of a team in
	// the scheduler is the sum of the shares of its documents.
	Share int64
	// Limit bounds what the team may have running in all data centres together. The limit
	// of a team is the sum of the limits of its documents.
	Limit structs.Resources
	// CutGrace is how long a process continues to accept the team's work after its
	// configuration lease has expired, which happens when it has lost contact with the
	// fleet group.
	CutGrace time.Duration
}

var (
	classNames  = []string{"service", "batch", "gang"}
	classKind   = choiceKind(classNames, []structs.Class{structs.ClassService, structs.ClassBatch, structs.ClassGang})
	actionNames = []string{"wait", "refuse"}
	actionKind  = choiceKind(actionNames, []bool{true, false})
)

// ParseDocument parses and checks a document. An error is of type Faults; file is
// only used in it.
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
	d.checkConsistency(r)
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
	d.Spec.RunTime = optional(r, "tasks", "run_time", durationKind(0, maxDeclaredRunTime), 0)
	d.Spec.Deadline = optional(r, "tasks", "deadline", durationKind(0, maxDeadline), 0)
}

// readSize reads the size of one task.
func (d *Document) readSize(r *reader) {
	d.Spec.Size.MilliCPU = required(r, "size", "cpu", cpuKind(1, maxTaskMilliCPU))
	d.Spec.Size.MemoryBytes = required(r, "size", "memory", memoryKind(1, maxTaskMemoryBytes))
	d.Spec.Size.Accelerators = optional(r, "size", "accelerators", wholeKind(0, maxAccelerators), 0)
}

// readLimits reads the team's share and upper limit.
func (d *Document) readLimits(r *reader) {
	d.Share = optional(r, "limits", "share", wholeKind(1, maxShare), defaultShare)
	d.Limit.MilliCPU = required(r, "limits", "cpu", cpuKind(1, maxLimitMilliCPU))
	d.Limit.MemoryBytes = required(r, "limits", "memory", memoryKind(1, maxLimitMemoryBytes))
	d.Limit.Accelerators = optional(r, "limits", "accelerators", wholeKind(0, maxAccelerators), 0)
	d.Spec.QueueLimit = int(optional(r, "limits", "queue", wholeKind(1, maxQueuedItems), defaultQueueLimit))
}

// readWhenFull reads how the service's work is treated when capacity is exhausted.
func (d *Document) readWhenFull(r *reader) {
	d.Spec.WaitWhenFull = optional(r, "when_full", "action", actionKind, true)
	d.Spec.MayThrottle = optional(r, "when_full", "may_throttle", yesNoKind, false)
	d.Spec.MayCheckpoint = optional(r, "when_full", "may_checkpoint", yesNoKind, false)
	d.Spec.MayPreempt = optional(r, "when_full", "may_preempt", yesNoKind, false)
	d.CutGrace = optional(r, "when_full", "cut_grace", durationKind(0, maxCutGrace), 0)
}

// checkConsistency checks combinations of values that are valid one by one.
func (d *Document) checkConsistency(r *reader) {
	s := d.Spec
	if r.valid("service.class", "tasks.count") && s.Class == structs.ClassGang && s.Tasks < 2 {
		r.fault("tasks", "count", fmt.Sprint(s.Tasks), "at least 2 for class gang")
	}
	if r.valid("service.idempotent", "when_full.may_preempt", "when_full.may_checkpoint") &&
		s.MayPreempt && !s.Idempotent && !s.MayCheckpoint {
		r.fault("when_full", "may_preempt", "yes without may_checkpoint",
			"no, unless may_checkpoint = yes or idempotent = yes: work that is not idempotent cannot start again")
	}
	if r.valid("tasks.count", "limits.queue") && s.Tasks > s.QueueLimit {
		r.fault("limits", "queue", fmt.Sprint(s.QueueLimit), fmt.Sprintf("at least tasks.count, %d", s.Tasks))
	}
	d.checkLimit(r)
}

// checkLimit checks that the team's limit allows the tasks that must run at the
// same time: all tasks of a service or gang, one task of a batch job.
func (d *Document) checkLimit(r *reader) {
	if !r.valid("service.class", "tasks.count") {
		return
	}
	concurrent := int64(d.Spec.Tasks)
	if d.Spec.Class == structs.ClassBatch {
		concurrent = 1
	}
	needed := d.Spec.Size.Scale(concurrent)
	reason := fmt.Sprintf("for %d task(s) at once", concurrent)
	if r.valid("size.cpu", "limits.cpu") && needed.MilliCPU > d.Limit.MilliCPU {
		r.fault("limits", "cpu", FormatCPU(d.Limit.MilliCPU), "at least "+FormatCPU(needed.MilliCPU)+" "+reason)
	}
	if r.valid("size.memory", "limits.memory") && needed.MemoryBytes > d.Limit.MemoryBytes {
		r.fault("limits", "memory", FormatBytes(d.Limit.MemoryBytes), "at least "+FormatBytes(needed.MemoryBytes)+" "+reason)
	}
	if r.valid("size.accelerators", "limits.accelerators") && needed.Accelerators > d.Limit.Accelerators {
		r.fault("limits", "accelerators", fmt.Sprint(d.Limit.Accelerators), fmt.Sprintf("at least %d %s", needed.Accelerators, reason))
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
	p.key("action", actionNames[boolIndex(!s.WaitWhenFull)])
	p.key("may_throttle", yesNo(s.MayThrottle))
	p.key("may_checkpoint", yesNo(s.MayCheckpoint))
	p.key("may_preempt", yesNo(s.MayPreempt))
	p.key("cut_grace", d.CutGrace)
	return p.String()
}

// className returns the name of a class in documents.
func className(class structs.Class) string {
	if class < structs.ClassService || class > structs.ClassGang {
		return "unspecified"
	}
	return classNames[class-structs.ClassService]
}

// printer builds an INI text.
type printer struct{ strings.Builder }

// section writes the header of a section.
func (p *printer) section(name string) {
	if p.Len() > 0 {
		p.WriteByte('\n')
	}
	fmt.Fprintf(p, "[%s]\n", name)
}

// key writes a key of the current section.
func (p *printer) key(name string, value any) { fmt.Fprintf(p, "%s = %v\n", name, value) }

// resources writes the keys of an amount of resources.
func (p *printer) resources(r structs.Resources) {
	p.key("cpu", FormatCPU(r.MilliCPU))
	p.key("memory", FormatBytes(r.MemoryBytes))
	p.key("accelerators", r.Accelerators)
}

// yesNo returns "yes" for true and "no" for false.
func yesNo(on bool) string { return []string{"no", "yes"}[boolIndex(on)] }

// boolIndex returns 1 for true and 0 for false.
func boolIndex(on bool) int {
	if on {
		return 1
	}
	return 0
}

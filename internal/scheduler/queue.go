package scheduler

import (
	"time"
)

// insert adds a job to its bucket in order of submission. Jobs arrive nearly in
// order and are returned near the head, so the search from the closer end is
// short.
func (b *bucket) insert(j *job) {
	b.jobs++
	if b.head == nil {
		b.head = j
		b.tail = j
		return
	}
	if j.submitted-b.head.submitted < b.tail.submitted-j.submitted {
		b.insertFromHead(j)
		return
	}
	at := b.tail
	for at != nil && at.submitted > j.submitted {
		at = at.prev
	}
	b.insertAfter(at, j)
}

func (b *bucket) insertFromHead(j *job) {
	at := b.head
	for at != nil && at.submitted <= j.submitted {
		at = at.next
	}
	if at == nil {
		b.insertAfter(b.tail, j)
		return
	}
	b.insertAfter(at.prev, j)
}

// insertAfter links j behind at, or first if at is nil.
func (b *bucket) insertAfter(at, j *job) {
	j.prev = at
	if at == nil {
		j.next = b.head
		b.head = j
	} else {
		j.next = at.next
		at.next = j
	}
	if j.next == nil {
		b.tail = j
	} else {
		j.next.prev = j
	}
}

func (b *bucket) remove(j *job) {
	b.jobs--
	if j.prev == nil {
		b.head = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		b.tail = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.prev = nil
	j.next = nil
}

// turn returns the time by which the head is ordered.
func (s *Scheduler) turn(b *bucket) time.Duration {
	predicted := b.doc.history.Predict(b.spec.RunTime, orderQuantile)
	return s.options.Policy.OrderTime(b.head.submitted, predicted)
}

// entry is the head of a bucket in the order of a plan.
type entry struct {
	score float64
	head  *job
	epoch uint32
}

// before orders by score, then by submission and id, so that the order does
// not depend on the order of updates.
func (e *entry) before(o *entry) bool {
	if e.score != o.score {
		return e.score < o.score
	}
	if e.head.submitted != o.head.submitted {
		return e.head.submitted < o.head.submitted
	}
	return e.head.id < o.head.id
}

// order is a binary heap of entries.
type order []entry

func (o order) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(o); c++ {
			if o[c].before(&o[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		o[i], o[least] = o[least], o[i]
		i = least
	}
}

func (o order) build() {
	for i := len(o)/2 - 1; i >= 0; i-- {
		o.down(i)
	}
}

func (o *order) push(e entry) {
	*o = append(*o, e)
	h := *o
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].before(&h[up]) {
			return
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (o *order) pop() entry {
	h := *o
	top := h[0]
	last := len(h) - 1
	h[0] = h[last]
	*o = h[:last]
	(*o).down(0)
	return top
}

// due is a job and its deadline when it was entered.
type due struct {
	at  time.Duration
	job *job
}

// deadlines is a heap of jobs by deadline. Jobs that were removed, or whose
// deadline was replaced, leave it lazily.
type deadlines []due

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlines) Push(x any)        { *d = append(*d, x.(due)) }
func (d *deadlines) Pop() any {
	h := *d
	last := len(h) - 1
	top := h[last]
	h[last] = due{}
	*d = h[:last]
	return top
}

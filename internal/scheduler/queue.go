package scheduler

import (
	"time"
)

// insert adds a job to its bucket in order of submission. New jobs belong near the
// tail and jobs that wait again near the head, so it searches from the end that is
// closer in time.
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

// insertAfter inserts j after at, or as the head if at is nil.
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

// orderTime returns share.Policy's OrderTime of the head of a bucket.
func (s *Scheduler) orderTime(b *bucket) time.Duration {
	predicted := b.doc.history.Predict(b.spec.RunTime, orderQuantile)
	return s.options.Policy.OrderTime(b.head.submitted, predicted)
}

// orderEntry is the head of a bucket in the order of a plan. teamRevision is the
// revision of its team when the score was computed.
type orderEntry struct {
	score        float64
	head         *job
	teamRevision uint32
}

// before orders entries by score, then by submission and job ID, so that the result
// does not depend on the order in which jobs were added.
func (e *orderEntry) before(o *orderEntry) bool {
	if e.score != o.score {
		return e.score < o.score
	}
	if e.head.submitted != o.head.submitted {
		return e.head.submitted < o.head.submitted
	}
	return e.head.id < o.head.id
}

// orderHeap is a binary heap of entries, the first one at the root.
type orderHeap []orderEntry

func (o orderHeap) down(i int) {
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

func (o orderHeap) build() {
	for i := len(o)/2 - 1; i >= 0; i-- {
		o.down(i)
	}
}

func (o *orderHeap) push(e orderEntry) {
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

func (o *orderHeap) pop() orderEntry {
	h := *o
	top := h[0]
	last := len(h) - 1
	h[0] = h[last]
	*o = h[:last]
	(*o).down(0)
	return top
}

// deadlineEntry is a job and the deadline that it had when the entry was added.
type deadlineEntry struct {
	at  time.Duration
	job *job
}

// deadlineHeap is a heap of jobs by deadline. Entries of jobs that were removed, or
// whose deadline was replaced, are dropped later.
type deadlineHeap []deadlineEntry

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deadlineHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlineHeap) Push(x any)        { *d = append(*d, x.(deadlineEntry)) }
func (d *deadlineHeap) Pop() any {
	h := *d
	last := len(h) - 1
	top := h[last]
	h[last] = deadlineEntry{}
	*d = h[:last]
	return top
}

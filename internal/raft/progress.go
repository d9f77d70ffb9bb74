package raft

import (
	"slices"
	"time"
)

// progress is the leader's view of one other member.
type progress struct {
	match uint64 // highest index known to be stored there
	next  uint64 // next index to send
	// probing is true until an append matched; then only one append is sent
	// per answer or heartbeat.
	probing   bool
	probeSent bool
	// inflight holds the last index of each append that is not yet answered.
	inflight []uint64
	// snapshot is the index of the snapshot being sent, 0 if none.
	snapshot      uint64
	snapshotTicks int
	// active is true if the member answered since the last quorum check.
	active bool
	// answered is when the newest heartbeat round that it answered was sent.
	answered    time.Duration
	hasAnswered bool
}

func newProgress(next uint64) *progress { return &progress{next: next, probing: true} }

// paused reports whether flow control forbids another append now.
func (p *progress) paused() bool {
	switch {
	case p.snapshot != 0:
		return true
	case p.probing:
		return p.probeSent
	}
	return len(p.inflight) >= maxInflight
}

// sent notes an append whose last entry is at index last.
func (p *progress) sent(last uint64, entries int) {
	if p.probing {
		p.probeSent = true
		return
	}
	if entries > 0 {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acked notes that everything up to index is stored at the member.
func (p *progress) acked(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	if p.snapshot != 0 && p.match >= p.snapshot {
		p.snapshot = 0
	}
	if p.snapshot == 0 && p.probing {
		p.probing = false
		p.next = p.match + 1
	}
	p.probeSent = false
	done := 0
	for done < len(p.inflight) && p.inflight[done] <= index {
		done++
	}
	p.inflight = p.inflight[done:]
}

// rejected handles the refusal of an append after prev; hint is the index up to
// which the member may match.
func (p *progress) rejected(prev, hint uint64) {
	if p.snapshot != 0 || prev <= p.match || p.probing && prev != p.next-1 {
		return // answer to an older message
	}
	p.next = max(p.match, min(hint, prev-1)) + 1
	p.probe()
}

// probe makes the next append find out where the member's log matches.
func (p *progress) probe() {
	p.probing = true
	p.probeSent = false
	p.inflight = nil
}

// updateProgress makes the progress map hold exactly the other members.
func (n *Node) updateProgress() {
	for id := range n.progress {
		if !n.isMember(id) {
			delete(n.progress, id)
		}
	}
	for _, id := range n.others() {
		if n.progress[id] == nil {
			n.progress[id] = newProgress(n.log.last() + 1)
		}
	}
}

// others returns the ids of the other members in a fixed order.
func (n *Node) others() []string {
	var ids []string
	for _, r := range n.members().Voters {
		ids = append(ids, r.Id)
	}
	for _, r := range n.members().Learners {
		ids = append(ids, r.Id)
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == n.id })
	slices.Sort(ids)
	return ids
}

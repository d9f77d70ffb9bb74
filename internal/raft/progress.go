package raft

import (
	"slices"
	"time"
)

// progress is the leader's record of the replication to one other member.
type progress struct {
	match uint64 // highest index known to be stored there
	next  uint64 // next index to send
	// probing is true until the member has accepted an append. While it is true,
	// only one append is sent per answer or heartbeat. probeSent is set once that
	// append is sent.
	probing   bool
	probeSent bool
	// inflight holds the last index of each append that is not yet acknowledged.
	inflight []uint64
	// snapshot is the index of the snapshot that is being sent, 0 if none, and
	// snapshotTicks the number of ticks since then.
	snapshot      uint64
	snapshotTicks int
	// active is true if the member answered since the last quorum check.
	active bool
	// answeredRoundSentAt is when the newest heartbeat round that it answeredRoundSentAt was sent.
	answeredRoundSentAt time.Duration
	hasAnswered         bool
}

func newProgress(next uint64) *progress { return &progress{next: next, probing: true} }

// paused reports whether flow control forbids sending another append now.
func (p *progress) paused() bool {
	switch {
	case p.snapshot != 0:
		return true
	case p.probing:
		return p.probeSent
	}
	return len(p.inflight) >= maxInflightAppends
}

// recordAppend records that an append with the given number of entries was sent,
// whose last entry has index last.
func (p *progress) recordAppend(last uint64, entries int) {
	if p.probing {
		p.probeSent = true
		return
	}
	if entries > 0 {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// recordAck records that the member has stored all entries up to index.
func (p *progress) recordAck(index uint64) {
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

// recordRejection handles the rejection of an append that followed index prev. hint is
// the highest index at which the member's log may match.
func (p *progress) recordRejection(prev, hint uint64) {
	if p.snapshot != 0 || prev <= p.match || p.probing && prev != p.next-1 {
		return // the answer to an outdated append
	}
	p.next = max(p.match, min(hint, prev-1)) + 1
	p.startProbing()
}

// startProbing sends single appends again until the member's log is known to match.
func (p *progress) startProbing() {
	p.probing = true
	p.probeSent = false
	p.inflight = nil
}

// updateProgress adjusts the progress map to the other members of the membership in
// effect.
func (n *Node) updateProgress() {
	for id := range n.progress {
		if !n.isMember(id) {
			delete(n.progress, id)
		}
	}
	for _, id := range n.otherMembers() {
		if n.progress[id] == nil {
			n.progress[id] = newProgress(n.log.last() + 1)
		}
	}
}

// otherMembers returns the sorted ids of the voters and learners other than the node.
func (n *Node) otherMembers() []string {
	var ids []string
	for _, r := range n.membership().Voters {
		ids = append(ids, r.Id)
	}
	for _, r := range n.membership().Learners {
		ids = append(ids, r.Id)
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == n.id })
	slices.Sort(ids)
	return ids
}

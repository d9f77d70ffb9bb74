package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/adapter/disk"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// electionTimeout is the longest election timeout of package raft.
const electionTimeout = 14 * raft.TickInterval

// stallingMachine is a state machine whose next calls of one method block.
type stallingMachine struct {
	port.StateMachine
	current atomic.Pointer[stall]
}

// stall blocks the calls of the method until release is called.
type stall struct {
	method   string
	began    chan struct{} // closed when a call blocks
	begin    func()
	released chan struct{}
	release  func()
}

func (m *stallingMachine) stall(t testing.TB, method string) *stall {
	s := &stall{method: method, began: make(chan struct{}), released: make(chan struct{})}
	s.begin = sync.OnceFunc(func() { close(s.began) })
	s.release = sync.OnceFunc(func() { close(s.released) })
	t.Cleanup(s.release)
	m.current.Store(s)
	return s
}

func (m *stallingMachine) enter(method string) {
	if s := m.current.Load(); s != nil && s.method == method {
		s.begin()
		<-s.released
	}
}

func (m *stallingMachine) Apply(index uint64, command []byte) any {
	m.enter("Apply")
	return m.StateMachine.Apply(index, command)
}

func (m *stallingMachine) Snapshot() ([]byte, error) {
	m.enter("Snapshot")
	return m.StateMachine.Snapshot()
}

func (m *stallingMachine) Restore(index uint64, snapshot []byte) error {
	m.enter("Restore")
	return m.StateMachine.Restore(index, snapshot)
}

// newStallingCluster returns a cluster of three replicas without disks, whose state
// machines are returned by the ids of the replicas.
func newStallingCluster(t testing.TB) (*cluster, map[string]*stallingMachine) {
	machines := map[string]*stallingMachine{}
	c := newCluster(t, func(cfg *Config) {
		machines[cfg.ID] = &stallingMachine{StateMachine: cfg.StateMachine}
		cfg.StateMachine = machines[cfg.ID]
		cfg.Storage = disk.NewMemory()
	}, "a.1", "b.1", "c.1")
	return c, machines
}

// followers returns the two replicas other than the leader. It waits until both follow the
// leader: the lease needs the answer of one of them only, so that the other may not have
// received a message of the new term yet.
func (c *cluster) followers(leader *Replica) (*Replica, *Replica) {
	var found []*Replica
	for _, r := range c.all() {
		if r == leader {
			continue
		}
		wait(c.t, r.cfg.ID+" does not follow the leader", func() bool { return r.Status().Leader == leader.cfg.ID })
		found = append(found, r)
	}
	return found[0], found[1]
}

// proposeAsync proposes a command and returns a channel with the error.
func proposeAsync(r *Replica, command string) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := r.Propose(context.Background(), []byte(command))
		result <- err
	}()
	return result
}

// checkLeadership checks for three election timeouts that the leader holds its lease
// and that the follower follows it in the same term.
func checkLeadership(t testing.TB, leader, follower *Replica) {
	t.Helper()
	term := leader.Status().Term
	for begin := time.Now(); time.Since(begin) < 3*electionTimeout; time.Sleep(pollInterval) {
		_, valid := leader.Lease()
		assert.Assert(t, valid, "lease lost after %v", time.Since(begin))
		assert.Equal(t, leader.Status().Term, term)
		s := follower.Status()
		assert.Equal(t, s.Role, raft.Follower)
		assert.Equal(t, s.Leader, leader.cfg.ID)
	}
}

// TestSlowApplyDoesNotCostLeadership guards against heartbeats that are neither sent
// nor answered while a state machine is busy. One follower is cut off where the other
// is the slow one, so that the lease depends on its answers.
func TestSlowApplyDoesNotCostLeadership(t *testing.T) {
	t.Run("leader applies", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, machines := newStallingCluster(t)
			l := c.leader()
			f, _ := c.followers(l)
			s := machines[l.cfg.ID].stall(t, "Apply")
			result := proposeAsync(l, "0")
			<-s.began
			checkLeadership(t, l, f)
			s.release()
			assert.NilError(t, <-result)
		})
	})
	t.Run("leader takes a snapshot", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, machines := newStallingCluster(t)
			l := c.leader()
			f, _ := c.followers(l)
			s := machines[l.cfg.ID].stall(t, "Snapshot")
			for i := range int(l.cfg.SnapshotThreshold) {
				proposeAsync(l, fmt.Sprint(i))
			}
			<-s.began
			checkLeadership(t, l, f)
			s.release()
			_, err := l.Propose(context.Background(), nil)
			assert.NilError(t, err)
		})
	})
	t.Run("follower applies", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, machines := newStallingCluster(t)
			l := c.leader()
			f, other := c.followers(l)
			s := machines[f.cfg.ID].stall(t, "Apply")
			c.propose(0, 1)
			<-s.began
			c.net.setCut(other.cfg.ID, true)
			checkLeadership(t, l, f)
			s.release()
			c.waitCommands(f.cfg.ID, 1)
		})
	})
	t.Run("follower restores a snapshot", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, machines := newStallingCluster(t)
			l := c.leader()
			f, other := c.followers(l)
			c.net.setCut(f.cfg.ID, true)
			c.propose(0, 200) // more than the retained entries
			s := machines[f.cfg.ID].stall(t, "Restore")
			c.net.setCut(f.cfg.ID, false)
			<-s.began
			c.net.setCut(other.cfg.ID, true)
			checkLeadership(t, l, f)
			s.release()
			c.waitCommands(f.cfg.ID, 200)
		})
	})
}

// TestNoLeaseBeforeStateMachineCaughtUp guards against a new leader that serves reads
// from a state machine that lacks commands which an earlier leader has acknowledged.
func TestNoLeaseBeforeStateMachineCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, machines := newStallingCluster(t)
		l := c.leader()
		f, g := c.followers(l)
		stalls := []*stall{machines[f.cfg.ID].stall(t, "Apply"), machines[g.cfg.ID].stall(t, "Apply")}
		c.propose(0, 1)
		for _, s := range stalls {
			<-s.began
		}
		c.stop(l)
		wait(t, "no new leader", func() bool { return f.Status().Role == raft.Leader || g.Status().Role == raft.Leader })
		for begin := time.Now(); time.Since(begin) < electionTimeout; time.Sleep(pollInterval) {
			for _, r := range c.all() {
				_, valid := r.Lease()
				assert.Assert(t, !valid, "%s holds a lease, applied %d of %d", r.cfg.ID, r.Status().AppliedIndex, r.Status().CommitIndex)
			}
		}
		for _, s := range stalls {
			s.release()
		}
		c.waitCommands(c.leader().cfg.ID, 1)
	})
}

// TestCommittedProposalSurvivesLossOfLeadership guards against a command that is
// reported as unknown although it is committed and about to be applied.
func TestCommittedProposalSurvivesLossOfLeadership(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, machines := newStallingCluster(t)
		l := c.leader()
		s := machines[l.cfg.ID].stall(t, "Apply")
		committed := proposeAsync(l, "0")
		<-s.began
		c.net.setCut(l.cfg.ID, true)
		uncommitted := proposeAsync(l, "1")
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(<-uncommitted, &unknown))
		assert.Assert(t, l.Status().Role != raft.Leader)
		s.release()
		assert.NilError(t, <-committed)
	})
}

// TestStopDuringSlowApply guards against a replica that cannot be stopped while its
// state machine is busy, calls it after Stop, or loses a command that it has committed.
func TestStopDuringSlowApply(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		machines := make(chan *stallingMachine, 2)
		c := newCluster(t, func(cfg *Config) {
			m := &stallingMachine{StateMachine: cfg.StateMachine}
			machines <- m
			cfg.StateMachine = m
		}, "a.1")
		l := c.leader()
		s := (<-machines).stall(t, "Apply")
		first := proposeAsync(l, "0")
		<-s.began
		second := proposeAsync(l, "1")
		wait(t, "the second command is not committed", func() bool { return l.Status().CommitIndex == 3 })
		stopped := make(chan struct{})
		go func() { c.stop(l); close(stopped) }()
		wait(t, "the lease is kept", func() bool { _, valid := l.Lease(); return !valid })
		s.release()
		<-stopped
		assert.NilError(t, <-first)
		err := <-second
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "error %v", err)
		assert.ErrorIs(t, err, ErrStopped)
		assert.DeepEqual(t, c.machines["a.1"].all(), []string{"0"})
		c.start("a.1", c.diskOf("a.1"), nil)
		c.leader()
		c.waitCommands("a.1", 2)
	})
}

// TestSlowApplyBoundsUnappliedEntries guards against a log that grows without a bound
// while the state machine is slow: on a leader, and on a follower without which the
// others still commit.
func TestSlowApplyBoundsUnappliedEntries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const size = 512 // bytes of a command
		machines := map[string]*stallingMachine{}
		c := newCluster(t, func(cfg *Config) {
			machines[cfg.ID] = &stallingMachine{StateMachine: noopMachine{}}
			cfg.StateMachine = machines[cfg.ID]
			cfg.Storage = disk.NewMemory()
			cfg.SnapshotThreshold = 10 * maxUnappliedEntries
		}, "a.1", "b.1", "c.1")
		l := c.leader()
		f, _ := c.followers(l)
		follower := machines[f.cfg.ID].stall(t, "Apply")
		propose := func(most int) (proposed int) {
			for proposed < most {
				p := newProposal(make([]byte, size))
				if err := l.enqueue(p); err != nil {
					assert.ErrorIs(t, err, ErrOverloaded)
					return proposed
				}
				if proposed++; proposed%1000 == 0 {
					wait(t, "the leader does not commit", func() bool { return l.Status().CommitIndex >= l.view.Load().status.LastIndex })
					time.Sleep(time.Millisecond)
				}
			}
			return proposed
		}
		assert.Equal(t, propose(3*maxUnappliedEntries), 3*maxUnappliedEntries)
		s := f.Status()
		assert.Assert(t, s.CommitIndex-s.AppliedIndex < 2*maxUnappliedEntries, "%+v", s)
		follower.release()
		wait(t, "the follower does not catch up", func() bool { return f.Status().AppliedIndex == l.Status().CommitIndex })

		leader := machines[l.cfg.ID].stall(t, "Apply")
		assert.Assert(t, propose(3*maxUnappliedEntries) < 2*maxUnappliedEntries)
		leader.release()
		wait(t, "the leader refuses proposals", func() bool { return propose(1) == 1 })
	})
}

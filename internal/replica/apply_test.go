package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
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

// followers returns the two replicas other than the leader.
func (c *cluster) followers(leader *Replica) (*Replica, *Replica) {
	var found []*Replica
	for _, r := range c.all() {
		if r != leader {
			found = append(found, r)
		}
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
	t.Parallel()
	t.Run("leader applies", func(t *testing.T) {
		t.Parallel()
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
	t.Run("leader takes a snapshot", func(t *testing.T) {
		t.Parallel()
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
	t.Run("follower applies", func(t *testing.T) {
		t.Parallel()
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
	t.Run("follower restores a snapshot", func(t *testing.T) {
		t.Parallel()
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
}

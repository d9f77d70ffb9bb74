package replica

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/disk"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// recordingMachine is a state recordingMachine that keeps every command.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
}

func (m *recordingMachine) Apply(index uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return index
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(m.all(), "\n")), nil
}

func (m *recordingMachine) Restore(_ uint64, snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = strings.Split(string(snapshot), "\n")
	return nil
}

func (m *recordingMachine) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

type clock struct{ origin time.Time }

func (c clock) Now() time.Duration { return time.Since(c.origin) }

// network delivers messages within the process, except to and from replicas that are
// cut off.
type network struct {
	mu       sync.Mutex
	replicas map[string]*Replica
	cut      map[string]bool
}

func (n *network) Send(_ string, messages []*peerv1.RaftMessage) {
	for _, m := range messages {
		n.mu.Lock()
		to := n.replicas[m.To]
		cut := n.cut[m.To] || n.cut[m.From]
		n.mu.Unlock()
		if to != nil && !cut {
			to.Step([]*peerv1.RaftMessage{m})
		}
	}
}

func (n *network) setCut(id string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

// cluster runs the replicas of one group in this process.
type cluster struct {
	t        testing.TB
	folder   string
	net      *network
	machines map[string]*recordingMachine
	initial  *peerv1.RaftMembership
	config   func(*Config)
}

func newCluster(t testing.TB, config func(*Config), ids ...string) *cluster {
	c := &cluster{
		t: t, folder: t.TempDir(), machines: map[string]*recordingMachine{}, config: config,
		net:     &network{replicas: map[string]*Replica{}, cut: map[string]bool{}},
		initial: &peerv1.RaftMembership{},
	}
	for _, id := range ids {
		c.initial.Voters = append(c.initial.Voters, &peerv1.RaftReplica{Id: id, Address: "host-" + id})
	}
	for _, id := range ids {
		c.start(id, c.diskOf(id), c.initial)
	}
	t.Cleanup(func() {
		for _, r := range c.all() {
			r.Stop()
		}
	})
	return c
}

func (c *cluster) all() []*Replica {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	var found []*Replica
	for _, r := range c.net.replicas {
		found = append(found, r)
	}
	return found
}

func (c *cluster) diskOf(id string) port.LogStorage {
	folder := filepath.Join(c.folder, id)
	s, err := disk.Open(disk.OS{}, folder, "g")
	if errors.Is(err, disk.ErrIdentityMissing) {
		s, err = disk.Create(disk.OS{}, folder, "g", id)
	}
	assert.NilError(c.t, err)
	return s
}

func (c *cluster) start(id string, storage port.LogStorage, initial *peerv1.RaftMembership) *Replica {
	c.machines[id] = &recordingMachine{}
	cfg := Config{
		Group: "g", ID: id, Address: "host-" + id, Membership: initial, Storage: storage,
		StateMachine: c.machines[id], Transport: c.net, Clock: clock{time.Now()},
		SnapshotThreshold: 50, Seed: uint64(len(id)) + uint64(id[0]),
	}
	if c.config != nil {
		c.config(&cfg)
	}
	r, err := Start(cfg)
	assert.NilError(c.t, err)
	c.net.mu.Lock()
	c.net.replicas[id] = r
	c.net.mu.Unlock()
	return r
}

func (c *cluster) stop(r *Replica) {
	c.net.mu.Lock()
	delete(c.net.replicas, r.cfg.ID)
	c.net.mu.Unlock()
	r.Stop()
}

func (c *cluster) restartAll() {
	for _, r := range c.all() {
		c.stop(r)
	}
	for _, v := range c.initial.Voters {
		c.start(v.Id, c.diskOf(v.Id), nil)
	}
}

// wait polls ready for up to 10 s; what describes the condition that is not yet met. It has no
// goroutine of its own, as poll.WaitOn has: one that is left blocked when a wait fails within a
// bubble of synctest makes the bubble panic and ends the tests of the whole package.
func wait(t testing.TB, what string, ready func() bool) {
	t.Helper()
	const timeout, delay = 10 * time.Second, 5 * time.Millisecond
	for began := time.Now(); !ready(); time.Sleep(delay) {
		if time.Since(began) >= timeout {
			t.Fatalf("timeout after %v: %s", timeout, what)
		}
	}
}

// recordingTB keeps the message of Fatalf instead of failing the test.
type recordingTB struct {
	testing.TB
	message string
}

func (r *recordingTB) Fatalf(format string, args ...any) {
	r.message = fmt.Sprintf(format, args...)
	runtime.Goexit()
}

// Guards against a failed wait that makes the bubble of its test panic, which hides the failure
// and ends the other tests of the package.
func TestFailedWaitLeavesNoGoroutine(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := &recordingTB{TB: t}
		done := make(chan struct{})
		began := time.Now()
		go func() {
			defer close(done)
			wait(r, "no leader", func() bool { return false })
		}()
		<-done
		assert.Equal(t, r.message, "timeout after 10s: no leader")
		assert.Equal(t, time.Since(began), 10*time.Second)
	})
}

// leader waits until a replica holds a valid lease and returns it.
func (c *cluster) leader() *Replica {
	var found *Replica
	wait(c.t, "no replica holds a lease", func() bool {
		for _, r := range c.all() {
			if _, valid := r.Lease(); valid {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// propose proposes the numbers from..to-1 as commands.
func (c *cluster) propose(from, to int) {
	l := c.leader()
	for i := from; i < to; i++ {
		_, err := l.Propose(context.Background(), fmt.Append(nil, i))
		assert.NilError(c.t, err)
	}
}

// waitCommands waits until the replica has applied exactly the commands 0..count-1.
func (c *cluster) waitCommands(id string, count int) {
	c.t.Helper()
	want := make([]string, count)
	for i := range want {
		want[i] = fmt.Sprint(i)
	}
	wait(c.t, id+" lacks commands", func() bool { return slices.Equal(c.machines[id].all(), want) })
}

// TestCommandsSurviveKillAndRestart guards against losing acknowledged commands when
// the leader crashes, and against replicas that do not catch up from the log or from a
// snapshot.
func TestCommandsSurviveKillAndRestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a.1", "b.1", "c.1")
		c.propose(0, 20) // no snapshot yet
		c.restartAll()
		c.propose(20, 30)
		killed := c.leader()
		c.stop(killed)
		begin := time.Now()
		c.leader()
		t.Logf("new lease %v after the crash of the leader", time.Since(begin))
		assert.Assert(t, time.Since(begin) < 3*time.Second)
		_, err := killed.Propose(context.Background(), nil)
		assert.ErrorIs(t, err, ErrStopped)
		c.propose(30, 200) // more than the retained entries: the killed one needs a snapshot
		id := killed.cfg.ID
		c.start(id, c.diskOf(id), nil)
		for _, id := range []string{"a.1", "b.1", "c.1"} {
			c.waitCommands(id, 200)
		}
		c.restartAll()
		c.propose(200, 201)
		for _, id := range []string{"a.1", "b.1", "c.1"} {
			c.waitCommands(id, 201)
		}
	})
}

// TestProposeErrors guards against a proposal that blocks after its context has ended,
// one that is reported as not proposed although it may be committed, and a follower
// that does not return the leader's address.
func TestProposeErrors(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a.1", "b.1", "c.1")
		l := c.leader()
		for _, r := range c.all() {
			if r == l {
				continue
			}
			wait(t, "the follower knows no leader", func() bool { id, _ := r.Leader(); return id != "" })
			_, err := r.Propose(context.Background(), nil)
			var other *port.NotLeaderError
			assert.Assert(t, errors.As(err, &other), "error %v", err)
			assert.Equal(t, other.Address, "host-"+l.cfg.ID)
		}
		c.net.setCut(l.cfg.ID, true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := l.Propose(ctx, []byte("x"))
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "error %v", err)
		assert.ErrorIs(t, err, context.DeadlineExceeded)

		_, err = l.Propose(context.Background(), []byte("y"))
		assert.Assert(t, errors.As(err, &unknown), "error %v", err)
		_, valid := l.Lease()
		assert.Assert(t, !valid, "lease of an isolated leader")
	})
}

// TestTransferLeadershipIsQuick guards against a transfer that leaves the group without
// a leader for an election timeout.
func TestTransferLeadershipIsQuick(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a.1", "b.1", "c.1")
		c.propose(0, 1)
		old := c.leader()
		begin := time.Now()
		assert.NilError(t, old.TransferLeadership(context.Background()))
		assert.Assert(t, c.leader() != old)
		assert.Assert(t, time.Since(begin) < 500*time.Millisecond, "transfer took %v", time.Since(begin))
		c.propose(1, 2)
	})
}

// TestReplaceWaitsForNewReplica guards against a replacement that is reported as done
// before the new replica holds every entry and the old one is removed. The old one is
// a voter without a disk that returned as a new incarnation, or a live voter.
func TestReplaceWaitsForNewReplica(t *testing.T) {
	t.Parallel()
	sameVM := func(newID, oldID string) bool { return newID[0] == oldID[0] }
	for _, replacement := range []string{"b.2", "d.1"} {
		t.Run(replacement, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, func(cfg *Config) { cfg.Supersedes = sameVM }, "a.1", "b.1", "c.1")
				c.propose(0, 60)
				var old *Replica
				for _, r := range c.all() {
					if r != c.leader() && (old == nil || r.cfg.ID == "b.1") {
						old = r
					}
				}
				if sameVM(replacement, "b.1") {
					replacement = old.cfg.ID[:1] + ".2"
					c.stop(old)
				}
				c.start(replacement, disk.NewMemory(), nil)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				l := c.leader()
				err := l.Replace(ctx, old.cfg.ID, &peerv1.RaftReplica{Id: replacement})
				assert.NilError(t, err)
				s := l.Status()
				assert.Equal(t, len(s.Voters), 3)
				assert.Assert(t, containsReplica(s.Voters, replacement) && !containsReplica(s.Voters, old.cfg.ID))
				assert.Assert(t, s.Match[replacement] >= s.CommitIndex)
				c.propose(60, 61)
				c.waitCommands(replacement, 61)
				assert.ErrorIs(t, l.Replace(ctx, l.cfg.ID, &peerv1.RaftReplica{Id: "e.1"}), raft.ErrRemoveLeader)
			})
		})
	}
}

// TestRecoverAfterQuorumLoss guards against a remaining replica that cannot continue
// after a permanent loss of the quorum.
func TestRecoverAfterQuorumLoss(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil, "a.1", "b.1", "c.1")
		c.propose(0, 3)
		survivor := c.leader()
		for _, r := range c.all() {
			if r != survivor {
				c.stop(r)
			}
		}
		wait(t, "the survivor still leads", func() bool { return survivor.Status().Role != raft.Leader })
		assert.NilError(t, survivor.Recover(context.Background()))
		c.propose(3, 4)
		c.waitCommands(survivor.cfg.ID, 4)
		assert.Equal(t, survivor.Status().Generation, uint64(2))
	})
}

// failingStorage fails every Append once fail is closed.
type failingStorage struct {
	port.LogStorage
	fail chan struct{}
}

var errDisk = errors.New("no space left")

func (f *failingStorage) Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	select {
	case <-f.fail:
		return errDisk
	default:
		return f.LogStorage.Append(hard, entries)
	}
}

// TestStorageErrorStopsReplica guards against a replica that continues, or still holds
// a lease, after a failed write.
func TestStorageErrorStopsReplica(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fail := make(chan struct{})
		c := newCluster(t, func(cfg *Config) {
			cfg.Storage = &failingStorage{cfg.Storage, fail}
		}, "a.1")
		l := c.leader()
		close(fail)
		_, err := l.Propose(context.Background(), []byte("x"))
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "error %v", err)
		<-l.Done()
		assert.ErrorIs(t, l.Err(), errDisk)
		_, valid := l.Lease()
		assert.Assert(t, !valid)
	})
}

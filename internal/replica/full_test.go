package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/disk"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// smallFS is a file system on which nothing can be written while full is set, and at most limit
// bytes unless that is 0. A write that fails stores a part.
type smallFS struct {
	disk.OS
	folder string
	full   atomic.Bool
	limit  int64
}

type smallFile struct {
	disk.File
	fs *smallFS
}

func (f *smallFS) Open(path string) (disk.File, error) {
	file, err := f.OS.Open(path)
	return &smallFile{File: file, fs: f}, err
}

// used returns the bytes of all files.
func (f *smallFS) used() int64 {
	found, _ := os.ReadDir(f.folder)
	total := int64(0)
	for _, e := range found {
		if info, err := e.Info(); err == nil {
			total += info.Size()
		}
	}
	return total
}

func (f *smallFile) Write(data []byte) (int, error) {
	room := len(data)
	if f.fs.full.Load() {
		room = len(data) / 2
	} else if f.fs.limit > 0 {
		room = min(room, int(max(0, f.fs.limit-f.fs.used())))
	}
	n, err := f.File.Write(data[:room])
	if room < len(data) && err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

// gauge returns the value of a gauge that a replica of the group has set.
func gauge(scope tally.TestScope, name string) float64 {
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == name {
			return g.Value()
		}
	}
	return -1
}

// newSmallCluster returns a cluster whose storages are on small file systems, by id.
func newSmallCluster(t testing.TB, config func(*Config, *smallFS), ids ...string) (*cluster, map[string]*smallFS) {
	folder, disks := t.TempDir(), map[string]*smallFS{}
	c := newCluster(t, func(cfg *Config) {
		assert.NilError(t, cfg.Storage.Close())
		fs := disks[cfg.ID]
		if fs == nil {
			fs = &smallFS{folder: filepath.Join(folder, cfg.ID)}
			disks[cfg.ID] = fs
		}
		storage, err := disk.Open(fs, fs.folder, "g")
		if errors.Is(err, disk.ErrIdentityMissing) {
			storage, err = disk.Create(fs, fs.folder, "g", cfg.ID)
		}
		assert.NilError(t, err)
		cfg.Storage = storage
		if config != nil {
			config(cfg, fs)
		}
	}, ids...)
	return c, disks
}

// callInterval is the time between two commands of a caller. Syncs take real time but none of
// the simulated one, so a shorter interval would make the tests slow.
const callInterval = 50 * time.Millisecond

// caller proposes commands one after another at the leader, if there is one, and records which
// were acknowledged.
type caller struct {
	c      *cluster
	cancel context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex
	next         int
	acknowledged []string
	lastProposed time.Time // when the newest acknowledged command was proposed
}

func startCaller(c *cluster) *caller {
	ctx, cancel := context.WithCancel(context.Background())
	l := &caller{c: c, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for ; ctx.Err() == nil; time.Sleep(callInterval) {
			for _, r := range c.all() {
				if _, valid := r.Lease(); valid {
					l.propose(ctx, r)
				}
			}
		}
	}()
	c.t.Cleanup(l.stop)
	return l
}

func (l *caller) propose(ctx context.Context, r *Replica) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	l.next++
	command := fmt.Sprint("command ", l.next)
	_, err := r.Propose(ctx, []byte(command))
	var other *port.NotLeaderError
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		l.mu.Lock()
		l.acknowledged = append(l.acknowledged, command)
		l.lastProposed = began
		l.mu.Unlock()
	case errors.As(err, &other), errors.As(err, &unknown), errors.Is(err, ErrOverloaded), ctx.Err() != nil:
	default:
		l.c.t.Errorf("command failed: %v", err)
	}
}

func (l *caller) stop() {
	l.cancel()
	<-l.done
}

// acknowledgedSince reports whether a command that was proposed after the time is acknowledged.
func (l *caller) acknowledgedSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastProposed.After(since)
}

// checkKept waits until each replica has applied all acknowledged commands, each once.
func (l *caller) checkKept() {
	l.c.t.Helper()
	for _, r := range l.c.all() {
		id := r.cfg.ID
		var lost, doubled string
		wait(l.c.t, id+" lacks acknowledged commands", func() bool {
			seen := map[string]int{}
			for _, command := range l.c.machines[id].all() {
				seen[command]++
			}
			lost, doubled = "", ""
			for _, command := range l.acknowledged {
				if seen[command] == 0 {
					lost = command
				} else if seen[command] > 1 {
					doubled = command
				}
			}
			return lost == ""
		})
		assert.Equal(l.c.t, doubled, "")
	}
}

// Guards against a full disk that ends the process, that makes a replica acknowledge or vote
// for what it has not stored, that keeps leadership, or after which the group does not return.
func TestFullDisks(t *testing.T) {
	cases := []struct {
		name      string
		leader    bool
		followers int
	}{
		{"follower", false, 1},
		{"leader", true, 0},
		{"both followers", false, 2},
		{"leader and follower", true, 1},
		{"all", true, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkFullDisks(t, tc.leader, tc.followers) })
		})
	}
}

// checkFullDisks fills the disks of the leader, if leaderFull is set, and of a number of
// followers for two seconds.
func checkFullDisks(t *testing.T, leaderFull bool, followers int) {
	c, disks := newSmallCluster(t, nil, "a.1", "b.1", "c.1")
	leader := c.leader()
	calls := startCaller(c)
	wait(t, "no command is acknowledged", func() bool { return calls.acknowledgedSince(time.Time{}) })

	var full []*Replica
	if leaderFull {
		full = append(full, leader)
	}
	first, second := c.followers(leader)
	full = append(full, []*Replica{first, second}[:followers]...)
	for _, r := range full {
		disks[r.cfg.ID].full.Store(true)
	}
	began := time.Now()
	if len(full) == 1 {
		wait(t, "the quorum does not serve", func() bool {
			return calls.acknowledgedSince(time.Now().Add(-time.Second)) && time.Since(began) > 2*time.Second
		})
	} else {
		time.Sleep(2 * time.Second)
		assert.Assert(t, !calls.acknowledgedSince(began), "acknowledged without a quorum that can store")
	}
	for _, r := range full {
		assert.Assert(t, r.Status().Full, "%s is not full", r.cfg.ID)
		assert.Assert(t, r.Status().Role != raft.Leader, "%s leads", r.cfg.ID)
	}
	if !leaderFull {
		_, valid := leader.Lease()
		assert.Assert(t, valid, "the leader has lost its lease, with which it serves reads")
	}

	for _, r := range full {
		disks[r.cfg.ID].full.Store(false)
	}
	returned := time.Now()
	wait(t, "the service does not return", func() bool { return calls.acknowledgedSince(returned) })
	t.Logf("served %v after space returned", time.Since(returned))
	calls.stop()
	for _, r := range c.all() {
		assert.NilError(t, r.Err())
		wait(t, r.cfg.ID+" is still full", func() bool { return !r.Status().Full })
	}
	calls.checkKept()
	c.restartAll()
	c.leader()
	calls.checkKept()
}

// Guards against a command that is queued while the log cannot be extended and gets another
// answer than that it was not proposed, against a replica that never tries again, and against
// gauges that do not show it.
func TestQueuedCommandOnFullDiskIsRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		c, disks := newSmallCluster(t, func(cfg *Config, _ *smallFS) { cfg.Scope = scope }, "a.1")
		l := c.leader()
		assert.Equal(t, gauge(scope, "disk_full"), 0.0)
		disks["a.1"].full.Store(true)
		_, err := l.Propose(context.Background(), []byte("0"))
		var unknown *OutcomeUnknownError
		assert.Assert(t, errors.As(err, &unknown), "error %v", err)
		_, valid := l.Lease()
		assert.Assert(t, !valid)
		queued := newProposal([]byte("x"))
		assert.NilError(t, l.enqueue(queued))
		_, err = l.awaitProposal(context.Background(), queued)
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.Equal(t, gauge(scope, "disk_full"), 1.0)
		assert.Assert(t, gauge(scope, "log_bytes") > 0)
		disks["a.1"].full.Store(false)
		c.propose(1, 3)
		assert.Equal(t, gauge(scope, "disk_full"), 0.0)
		c.waitCommands("a.1", 3)
		assert.NilError(t, l.Err())
	})
}

// countMachine is a state machine whose state is the number of commands, encoded with size
// bytes.
type countMachine struct {
	size  int
	count uint64
}

func (m *countMachine) Apply(uint64, []byte) any { m.count++; return nil }

func (m *countMachine) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(make([]byte, m.size), m.count), nil
}

func (m *countMachine) Restore(_ uint64, snapshot []byte) error {
	m.count = binary.LittleEndian.Uint64(snapshot[m.size:])
	return nil
}

// Guards against a log of large entries that fills the disk before a snapshot is due by the
// number of entries: configurations have 1.5 MB, disks 128 MB, of which the log and the
// snapshots get half.
func TestLogOfLargeEntriesStaysBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const entryBytes, count, maxUsed = 1_500_000, 60, 64_000_000
		machine := &countMachine{size: entryBytes}
		c, disks := newSmallCluster(t, func(cfg *Config, _ *smallFS) {
			cfg.SnapshotThreshold = 4000
			cfg.StateMachine = machine
		}, "a.1")
		l := c.leader()
		most := int64(0)
		for i := range count {
			_, err := l.Propose(context.Background(), make([]byte, entryBytes))
			assert.NilError(t, err)
			most = max(most, disks["a.1"].used())
			assert.Assert(t, most <= maxUsed, "%d bytes on disk after %d entries", most, i+1)
		}
		t.Logf("at most %d bytes on disk", most)
		s := l.view.Load().status
		assert.Assert(t, s.LastIndex-s.FirstIndex < count/2, "%d entries in memory", s.LastIndex-s.FirstIndex)
	})
}

// countingStorage counts the snapshots.
type countingStorage struct {
	port.LogStorage
	snapshots atomic.Int64
}

func (s *countingStorage) SaveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	s.snapshots.Add(1)
	return s.LogStorage.SaveSnapshot(snapshot)
}

// Guards against a state larger than the log may be, which is written again for each entry, and
// against a log that grows beyond the size of such a state.
func TestSnapshotLargerThanLogIsNotTakenForEachEntry(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const stateBytes, entryBytes, count = 400_000, 10_000, 400
		var storage *countingStorage
		c, _ := newSmallCluster(t, func(cfg *Config, _ *smallFS) {
			storage = &countingStorage{LogStorage: cfg.Storage}
			cfg.Storage = storage
			cfg.SnapshotThreshold = 10 * count
			cfg.MaxLogBytes = 5 * entryBytes
			cfg.StateMachine = &countMachine{size: stateBytes}
		}, "a.1")
		l := c.leader()
		most := int64(0)
		for range count {
			_, err := l.Propose(context.Background(), make([]byte, entryBytes))
			assert.NilError(t, err)
			most = max(most, l.Status().LogBytes)
		}
		// The first snapshot is due after MaxLogBytes, one is of the initial membership.
		limit := int64(count*entryBytes/stateBytes + 3)
		assert.Assert(t, storage.snapshots.Load() > 3 && storage.snapshots.Load() <= limit, "%d snapshots", storage.snapshots.Load())
		assert.Assert(t, most <= 2*stateBytes, "log of %d bytes", most)
	})
}

// Guards against a log that stays long because a follower lags, and against a follower that
// does not catch up after the entries that it lacks were dropped.
func TestLaggingFollowerOfLargeEntriesGetsSnapshot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const entryBytes, count, maxLog = 10_000, 100, 100_000
		c, disks := newSmallCluster(t, func(cfg *Config, _ *smallFS) {
			cfg.SnapshotThreshold = 10 * count
			cfg.MaxLogBytes = maxLog
			cfg.StateMachine = &countMachine{size: 100}
		}, "a.1", "b.1", "c.1")
		l := c.leader()
		behind, other := c.followers(l)
		c.net.setCut(behind.cfg.ID, true)
		for range count {
			_, err := l.Propose(context.Background(), make([]byte, entryBytes))
			assert.NilError(t, err)
		}
		for _, r := range []*Replica{l, other} {
			wait(t, r.cfg.ID+" has not compacted its log", func() bool { return disks[r.cfg.ID].used() < 3*maxLog })
		}
		s := l.view.Load().status
		assert.Assert(t, (s.LastIndex-s.FirstIndex)*entryBytes < 3*maxLog, "%d entries in memory", s.LastIndex-s.FirstIndex)
		c.net.setCut(behind.cfg.ID, false)
		wait(t, "the follower does not catch up", func() bool { return behind.Status().AppliedIndex >= s.LastIndex })
	})
}

// Guards against a group that waits for space although compaction of its own log makes it.
func TestCompactionMakesSpaceOnFullDisk(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const entryBytes = 1000
		c, disks := newSmallCluster(t, func(cfg *Config, fs *smallFS) {
			fs.limit = 50 * entryBytes
			cfg.SnapshotThreshold = 100_000
			cfg.StateMachine = &countMachine{}
		}, "a.1", "b.1", "c.1")
		served := 0
		for began := time.Now(); served < 120; {
			assert.Assert(t, time.Since(began) < 30*time.Second, "%d commands served", served)
			l := c.leader()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			if _, err := l.Propose(ctx, make([]byte, entryBytes)); err == nil {
				served++
			}
			cancel()
		}
		for _, r := range c.all() {
			assert.NilError(t, r.Err())
			assert.Assert(t, disks[r.cfg.ID].used() <= disks[r.cfg.ID].limit)
		}
	})
}

// Guards against a former leader whose disk stays full of entries that a newer leader has
// overruled, since it does not store the append that replaces them. Depending on what the newer
// leader has done in the meantime, the entries are replaced by its first append, after a
// rejected one, or by a snapshot.
func TestFormerLeaderOnFullDiskTakesPartAgain(t *testing.T) {
	cases := []struct {
		name     string
		commands int  // that the newer leader commits while the former one is cut off
		transfer bool // to another leader after that
	}{
		{"first append", 0, false},
		{"rejected append", 10, true},
		{"snapshot", 200, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkFormerLeader(t, tc.commands, tc.transfer) })
		})
	}
}

func checkFormerLeader(t *testing.T, commands int, transfer bool) {
	c, disks := newSmallCluster(t, func(_ *Config, fs *smallFS) { fs.limit = 50_000 }, "a.1", "b.1", "c.1")
	c.propose(0, 3)
	former := c.leader()
	first, second := c.followers(former)
	for _, r := range []*Replica{first, second} {
		disks[r.cfg.ID].full.Store(true)
	}
	for began := time.Now(); !former.Status().Full; {
		assert.Assert(t, time.Since(began) < 10*time.Second, "the disk of the leader is not full")
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		_, err := former.Propose(ctx, make([]byte, 1000))
		assert.Assert(t, err != nil, "committed without a quorum that can store")
		cancel()
	}
	if commands > 0 {
		c.net.setCut(former.cfg.ID, true)
	}
	for _, r := range []*Replica{first, second} {
		disks[r.cfg.ID].full.Store(false)
	}
	c.propose(3, 3+commands)
	if transfer {
		assert.NilError(t, c.leader().TransferLeadership(context.Background()))
	}
	c.net.setCut(former.cfg.ID, false)
	wait(t, "the former leader is still full", func() bool { return !former.Status().Full })
	c.propose(3+commands, 5+commands)
	// Some commands of the former leader may be committed later, since a follower keeps what it
	// could not store.
	acknowledged := make([]string, 5+commands)
	for i := range acknowledged {
		acknowledged[i] = fmt.Sprint(i)
	}
	same := func() bool {
		want := c.machines[former.cfg.ID].all()
		small := slices.DeleteFunc(slices.Clone(want), func(command string) bool { return len(command) == 1000 })
		return slices.Equal(small, acknowledged) && slices.Equal(c.machines[first.cfg.ID].all(), want) &&
			slices.Equal(c.machines[second.cfg.ID].all(), want)
	}
	wait(t, "the replicas have not applied the same commands", same)
	for _, r := range c.all() {
		assert.NilError(t, r.Err())
		assert.Assert(t, disks[r.cfg.ID].used() <= disks[r.cfg.ID].limit)
	}
	c.restartAll()
	wait(t, "the replicas have not applied the same commands after a restart", same)
}

// Guards against a full follower that receives a snapshot and neither answers heartbeats, so
// that the leader loses its lease, nor stores the snapshot later.
func TestReceivedSnapshotOnFullDisk(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, disks := newSmallCluster(t, nil, "a.1", "b.1", "c.1")
		l := c.leader()
		behind, other := c.followers(l)
		c.net.setCut(behind.cfg.ID, true)
		c.propose(0, 200)
		disks[behind.cfg.ID].full.Store(true)
		c.net.setCut(behind.cfg.ID, false)
		wait(t, "the follower is not full", func() bool { return behind.Status().Full })
		c.net.setCut(other.cfg.ID, true)
		checkLeadership(t, l, behind)
		c.net.setCut(other.cfg.ID, false)
		disks[behind.cfg.ID].full.Store(false)
		c.propose(200, 201)
		c.waitCommands(behind.cfg.ID, 201)
		assert.NilError(t, behind.Err())
		assert.Assert(t, slices.Contains(c.all(), behind))
	})
}

package replica

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/disk"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// slowStorage is a storage whose writes take the times that append and save return.
type slowStorage struct {
	port.LogStorage
	append, save func() time.Duration
}

func (s *slowStorage) Append(hard *peerv1.RaftHardState, entries []*peerv1.RaftEntry) error {
	time.Sleep(s.append())
	return s.LogStorage.Append(hard, entries)
}

func (s *slowStorage) SaveSnapshot(snapshot *peerv1.RaftSnapshot) error {
	time.Sleep(s.save())
	return s.LogStorage.SaveSnapshot(snapshot)
}

// newSlowCluster returns a cluster of three replicas whose storages take the times.
func newSlowCluster(t testing.TB, append, save func(id string) time.Duration) *cluster {
	return newCluster(t, func(cfg *Config) {
		cfg.Storage = &slowStorage{
			LogStorage: disk.NewMemory(),
			append:     func() time.Duration { return append(cfg.ID) },
			save:       func() time.Duration { return save(cfg.ID) },
		}
	}, "a.1", "b.1", "c.1")
}

// TestSlowWritesDoNotCostLease guards against a leader that stays leader and commits, but
// serves nothing, because heartbeats and the answers to them wait for writes to the disk.
func TestSlowWritesDoNotCostLease(t *testing.T) {
	none := func(string) time.Duration { return 0 }
	for _, delay := range []time.Duration{raft.LeaseDuration / 4, raft.LeaseDuration / 2} {
		slow := func(string) time.Duration { return delay }
		for name, newCluster := range map[string]func(t testing.TB) *cluster{
			"append":   func(t testing.TB) *cluster { return newSlowCluster(t, slow, none) },
			"snapshot": func(t testing.TB) *cluster { return newSlowCluster(t, none, slow) },
		} {
			t.Run(fmt.Sprintf("%s %v", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newCluster(t).leader()
					held, checks := 0, 0
					for begin := time.Now(); time.Since(begin) < 20*electionTimeout; time.Sleep(pollInterval) {
						assert.NilError(t, l.enqueue(newProposal(nil)))
						checks++
						if _, valid := l.Lease(); valid {
							held++
						}
					}
					assert.Equal(t, held, checks, "checks that found the lease valid, of all")
				})
			})
		}
	}
}

// TestHungDiskCostsLeadership guards against a leader that keeps its leadership but commits
// nothing, because its disk hangs.
func TestHungDiskCostsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hung := ""
		c := newSlowCluster(t, func(id string) time.Duration {
			if id == hung {
				return time.Minute
			}
			return 0
		}, func(string) time.Duration { return 0 })
		l := c.leader()
		time.Sleep(electionTimeout)
		hung = l.cfg.ID
		began := time.Now()
		proposeAsync(l, "0")
		time.Sleep(raft.LeaseDuration + 3*electionTimeout)
		next := c.leader()
		assert.Assert(t, next != l)
		_, err := next.Propose(context.Background(), nil)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < time.Minute)
	})
}

// TestSlowWritesBoundUnappliedEntries guards against a log that grows without a bound while
// entries are stored slowly: those that are not committed have to be applied as well.
func TestSlowWritesBoundUnappliedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(string) time.Duration { return raft.LeaseDuration / 2 }
		c := newSlowCluster(t, slow, func(string) time.Duration { return 0 })
		l := c.leader()
		most := uint64(0)
		for begin := time.Now(); time.Since(begin) < 5*electionTimeout; time.Sleep(pollInterval) {
			for l.enqueue(newProposal(nil)) == nil {
			}
			s := l.view.Load().status
			most = max(most, s.LastIndex-s.AppliedIndex)
		}
		assert.Assert(t, most <= maxUnappliedEntries, "%d entries were not applied", most)
	})
}

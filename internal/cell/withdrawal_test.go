package cell

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// withdrawn reports whether a submission of a job with a key is refused.
func (b *storeBench) withdrawn(path, key string) bool {
	found := false
	b.store.View(func(v *View) { found = v.Withdrawn(&Request{Host: "h", Path: path, Key: key}) })
	return found
}

// cancelAs cancels a job with a key.
func (b *storeBench) cancelAs(path, key string) Verdict {
	return b.apply(&Command{Cancel: &Request{Host: "h", Path: path, Key: key}}).(Verdict)
}

// newWithdrawalBench has a queue q of the teams red and blue and a public queue p.
func newWithdrawalBench(t *testing.T) *storeBench {
	b := newStoreBench(t)
	c := configuration(2)
	c.Queues = append(c.Queues, Queue{Name: "p", Host: "h", Prefix: "/p/", Service: "planner", TimeoutMS: 1000, MaxFailures: 2, Public: true})
	c.Teams = append(c.Teams, Team{Name: "blue", Keys: []string{"l"}})
	b.apply(&Command{Configure: c})
	return b
}

// Guards against a submission that arrives after its job was cancelled and creates it, also
// after a restore, and against a cancellation that affects jobs of other teams or queues.
func TestCancellationOfUnknownJobIsKept(t *testing.T) {
	b := newWithdrawalBench(t)
	assert.Equal(t, b.cancelAs("/q/"+firstID, "k"), NoJob)
	assert.Equal(t, b.cancelAs("/p/"+secondID, "l"), NoJob)
	assert.Equal(t, b.cancelAs("/q/"+secondID, "unknown"), BadKey)
	assert.Equal(t, b.cancelAs("/q/no-id", "k"), NoJob)
	for range 2 {
		assert.Assert(t, b.withdrawn("/q/"+firstID, "k"))
		assert.Assert(t, !b.withdrawn("/q/"+firstID, "l"), "the id is that of another team's job")
		assert.Assert(t, !b.withdrawn("/p/"+firstID, "k"), "the id is that of another queue's job")
		assert.Assert(t, b.withdrawn("/p/"+secondID, "k"), "in a public queue each client may cancel")
		assert.Assert(t, b.withdrawn("/p/"+secondID, ""))
		assert.Assert(t, !b.withdrawn("/q/"+secondID, "k"))
		assert.Assert(t, !b.withdrawn("/q/no-id", "k"))
		data, err := b.store.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, b.store.Restore(b.index, data))
	}
	b.submit(firstID, singleTask(1)) // by a leader of an earlier release
	assert.Equal(t, b.cancelAs("/q/"+firstID, "k"), Accepted)
	assert.Equal(t, b.state(firstID).State, Cancelled)
}

// Guards against a state that grows without bound as unknown jobs are cancelled, and against a
// team that pushes out the cancellations of others.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	b := newWithdrawalBench(t)
	path := func(i int) string { return fmt.Sprintf("/q/%016x", i) }
	b.cancelAs(path(0), "l")
	for i := range maxWithdrawals + 10 {
		b.cancelAs(path(i), "k")
		b.cancelAs(path(i), "k")
	}
	assert.Assert(t, b.withdrawn(path(0), "l"))
	assert.Assert(t, !b.withdrawn(path(9), "k"))
	assert.Assert(t, b.withdrawn(path(10), "k"))
	assert.Equal(t, len(b.store.withdrawn), maxWithdrawals+1)
	var count int
	var newest uint64
	b.store.View(func(v *View) { count, newest = v.Withdrawals() })
	assert.Equal(t, count, maxWithdrawals+1)
	b.apply(&Command{ForgetWithdrawals: &ForgetWithdrawals{LastIndex: newest - 1}})
	assert.Assert(t, !b.withdrawn(path(0), "l"))
	assert.Assert(t, b.withdrawn(path(maxWithdrawals+9), "k"))
	assert.Equal(t, len(b.store.withdrawn), 1)
	b.apply(&Command{ForgetWithdrawals: &ForgetWithdrawals{LastIndex: newest}})
	assert.Equal(t, len(b.store.withdrawn)+len(b.store.Withdrawals), 0)
}

// Guards against a submission that arrives late and creates a job whose cancellation was
// acknowledged, if the queue became public between the two, or was public until then.
func TestWithdrawalStaysWhenQueueBecomesPublicOrPrivate(t *testing.T) {
	for _, public := range []bool{false, true} {
		b := newStoreBench(t)
		for version := int64(2); version < 4; version++ {
			c := configuration(version)
			c.Queues[0].Public = public == (version == 2)
			b.apply(&Command{Configure: c})
			if version == 2 {
				assert.Equal(t, b.cancelAs("/q/"+firstID, "k"), NoJob)
			}
		}
		assert.Assert(t, b.withdrawn("/q/"+firstID, "k"), "public at the cancellation: %v", public)
		assert.Assert(t, !b.withdrawn("/q/"+secondID, "k"))
	}
}

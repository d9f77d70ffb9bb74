package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// rename configures the queues of the bench under other names, with the same hosts and
// prefixes.
func (b *storeBench) rename(version int64, suffix string) {
	c := configuration(version)
	for i := range c.Queues {
		c.Queues[i].Name += suffix
	}
	assert.Equal(b.t, b.apply(&Command{Configure: c}), Accepted)
}

// restore replaces the state by a snapshot of itself.
func (b *storeBench) restore() {
	data, err := b.store.Snapshot()
	assert.NilError(b.t, err)
	assert.NilError(b.t, b.store.Restore(b.index, data))
}

// Guards against a job that its clients cannot find, or that does not start, after the queue at
// its host and prefix was renamed, and against a repeated submission that creates it again.
func TestJobStaysWithRenamedQueue(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	for version := int64(100); version < 102; version++ {
		b.rename(version, "-renamed")
		assert.Equal(t, b.submit(firstID, singleTask(1)), Accepted)
		b.store.View(func(v *View) {
			r, queue := request(firstID), request("")
			status, verdict := v.Status(&r)
			assert.Equal(t, verdict, Accepted)
			assert.Equal(t, status.State, Active)
			pending, _ := v.Pending(&queue, nil)
			assert.Equal(t, pending, 1)
		})
		b.restore()
	}
	assert.DeepEqual(t, b.start(placement(firstID, 0, 0, 1, "w0")), []bool{true})
}

// Guards against a submission that arrives late and creates a job whose cancellation was
// acknowledged, if its queue was renamed between the two.
func TestWithdrawalStaysWithRenamedQueue(t *testing.T) {
	b := newStoreBench(t)
	assert.Equal(t, b.cancelAs("/q/"+firstID, "k"), NoJob)
	b.rename(100, "-renamed")
	assert.Assert(t, b.withdrawn("/q/"+firstID, "k"))
	b.restore()
	assert.Assert(t, b.withdrawn("/q/"+firstID, "k"))
	b.apply(&Command{ForgetWithdrawals: &ForgetWithdrawals{LastIndex: b.index}})
	assert.Assert(t, !b.withdrawn("/q/"+firstID, "k"))
}

// Guards against a job that moves to another path because two queues swap their names.
func TestJobStaysWithItsPathWhenNamesAreSwapped(t *testing.T) {
	b := newStoreBench(t)
	c := configuration(2)
	c.Queues = append(c.Queues, Queue{Name: "p", Host: "h", Prefix: "/p/", Service: "planner", TimeoutMS: 1000, MaxFailures: 2})
	b.apply(&Command{Configure: c})
	b.submit(firstID, singleTask(1))
	swapped := *c
	swapped.Version = 3
	swapped.Queues = []Queue{c.Queues[0], c.Queues[1]}
	swapped.Queues[0].Name, swapped.Queues[1].Name = "p", "q"
	b.apply(&Command{Configure: &swapped})
	assert.Equal(t, b.cancelAs("/p/"+firstID, "k"), NoJob)
	assert.Equal(t, b.cancelAs("/q/"+firstID, "k"), Accepted)
}

// Guards against jobs of an earlier release, which stored only the name of the queue, and of
// queues that get another prefix, that are lost to their clients.
func TestJobFollowsQueueNameWithoutItsPath(t *testing.T) {
	b := newStoreBench(t)
	b.submit(firstID, singleTask(1))
	moved := configuration(2)
	moved.Queues[0].Prefix = "/moved/"
	b.apply(&Command{Configure: moved})
	assert.Equal(t, b.cancelAs("/moved/"+firstID, "k"), Accepted)

	b = newStoreBench(t)
	b.submit(firstID, singleTask(1))
	j := b.store.Jobs[firstID]
	j.Host, j.Prefix = "", ""
	b.restore()
	assert.Equal(t, b.cancelAs("/q/"+firstID, "k"), Accepted)
}

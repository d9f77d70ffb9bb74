package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/gen/peerv1"
)

var testService = ServiceID{"t", "s"}

// listed returns an instance whose slots the given entry grants.
func listed(id, entry string, slots int32) *peerv1.Instance {
	return &peerv1.Instance{
		InstanceId: id, Incarnation: 1, Team: "t", Service: "s", Address: "addr-" + id, Slots: slots, Connections: 64,
		Entry: entry, EntryAddress: "entry-" + entry, ValidMs: 2000,
	}
}

func newTestTable(list ...*peerv1.Instance) *Table {
	t := NewTable(Config{Self: "a", DataCentre: "x", MaxWaitingPerTeam: 3})
	t.Update("x", list, 0, testLease, 0)
	return t
}

func call(deadline time.Duration) Call { return Call{Service: testService, Deadline: deadline} }

// requireGrant returns the grant of a ticket, and fails the test if there is none.
func requireGrant(t *testing.T, ticket *Ticket, err error) Grant {
	t.Helper()
	assert.NilError(t, err)
	select {
	case g := <-ticket.Ready():
		return g
	default:
		t.Fatal("the call was not granted")
		return Grant{}
	}
}

// releaseAnswered releases a grant whose call was answered after the time took.
func releaseAnswered(table *Table, g Grant, took, now time.Duration) {
	table.Release(g, Report{Result: Answered, Took: took}, now)
}

// Guards against calls sent to an instance that leaves, is no longer valid or is
// not assigned to this entry, and against forwards while a local slot is free.
func TestChoiceOfInstance(t *testing.T) {
	leaving := listed("i2", "a", 8)
	leaving.Leaving = true
	silent := listed("i2", "a", 8)
	silent.ValidMs = 0
	releasing := listed("i2", "a", 8)
	releasing.Release = 7
	cases := []struct {
		name string
		list []*peerv1.Instance
		now  time.Duration
		want string
	}{
		{"leaving", []*peerv1.Instance{listed("i1", "a", 1), leaving}, 0, "i1"},
		{"silent", []*peerv1.Instance{listed("i1", "a", 1), silent}, 0, "i1"},
		{"to be released", []*peerv1.Instance{listed("i1", "a", 1), releasing}, 0, "i1"},
		{"no entry", []*peerv1.Instance{listed("i1", "a", 1), listed("i2", "", 8)}, 0, "i1"},
		{"local before remote", []*peerv1.Instance{listed("i1", "a", 1), listed("i2", "b", 8)}, 0, "i1"},
		{"only remote", []*peerv1.Instance{listed("i2", "b", 8)}, 0, "entry b"},
		{"remote by name when equal", []*peerv1.Instance{listed("i1", "b", 1), listed("i2", "c", 8)}, 0, "entry b"},
		{"all silent", []*peerv1.Instance{listed("i1", "a", 1)}, 2 * time.Second, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable(c.list...)
			ticket, err := table.Submit(call(time.Hour), c.now)
			assert.NilError(t, err)
			got := ""
			select {
			case g := <-ticket.Ready():
				got = g.InstanceID
				if !g.Local {
					got = "entry " + g.Entry
				}
			default:
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against a slow instance that gets as many calls as a fast one.
func TestFasterInstanceGetsMoreCalls(t *testing.T) {
	table := newTestTable(listed("fast", "a", 4), listed("slow", "a", 4))
	counts := map[string]int{}
	for i := range 100 {
		now := time.Duration(i) * time.Millisecond
		ticket, err := table.Submit(call(time.Hour), now)
		g := requireGrant(t, ticket, err)
		counts[g.InstanceID]++
		took := 10 * time.Millisecond
		if g.InstanceID == "slow" {
			took = 100 * time.Millisecond
		}
		releaseAnswered(table, g, took, now)
	}
	assert.Assert(t, counts["fast"] > 90, "%v", counts)
}

// Guards against a call that waits although it is not expected to get a slot before
// its deadline: it is refused at once. A call that is expected to get one waits.
func TestCallBeyondExpectedWaitIsRefused(t *testing.T) {
	table := newTestTable(listed("i1", "a", 1))
	ticket, err := table.Submit(call(time.Hour), 0)
	releaseAnswered(table, requireGrant(t, ticket, err), 100*time.Millisecond, 0)
	ticket, err = table.Submit(call(time.Hour), 0)
	requireGrant(t, ticket, err)
	_, err = table.Submit(call(50*time.Millisecond), 0)
	assert.ErrorContains(t, err, "not run: the expected wait of 100ms")
	_, err = table.Submit(call(150*time.Millisecond), 0)
	assert.NilError(t, err)
}

// Guards against a team whose waiting calls grow without bound.
func TestWaitingCallsOfTeamAreLimited(t *testing.T) {
	table := newTestTable()
	var last *Ticket
	for range 3 {
		var err error
		last, err = table.Submit(call(time.Hour), 0)
		assert.NilError(t, err)
	}
	_, err := table.Submit(call(time.Hour), 0)
	assert.ErrorContains(t, err, "team t has 3 calls waiting")
	assert.Assert(t, table.Cancel(last))
	_, err = table.Submit(call(time.Hour), 0)
	assert.NilError(t, err)
}

// Guards against calls that wait for a slot in this entry while another entry has
// free ones, and against forwards to an entry that reported a longer wait or was
// unreachable.
func TestForwardWhenLocalSlotsAreInUse(t *testing.T) {
	table := newTestTable(listed("i1", "a", 1), listed("i2", "b", 8))
	ticket, err := table.Submit(call(time.Hour), 0)
	releaseAnswered(table, requireGrant(t, ticket, err), 100*time.Millisecond, 0)
	ticket, err = table.Submit(call(time.Hour), 0)
	assert.Assert(t, requireGrant(t, ticket, err).Local)
	ticket, err = table.Submit(call(time.Hour), 0)
	forwarded := requireGrant(t, ticket, err)
	assert.Equal(t, forwarded.EntryAddress, "entry-b")
	table.Release(forwarded, Report{Result: Answered, Load: &Load{ExpectedWait: time.Second, MeanServiceTime: 100 * time.Millisecond}}, 0)
	ticket, err = table.Submit(call(time.Hour), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(ticket.Ready()), 0)
	assert.Assert(t, table.Cancel(ticket))
	_, err = table.Submit(Call{Service: testService, Deadline: 50 * time.Millisecond}, 0)
	assert.ErrorContains(t, err, "not run: the expected wait")
	// The reported load has expired.
	table.Update("x", []*peerv1.Instance{listed("i1", "a", 1), listed("i2", "b", 8)}, time.Second, testLease, time.Second)
	ticket, err = table.Submit(call(time.Hour), time.Second)
	forwarded = requireGrant(t, ticket, err)
	assert.Equal(t, forwarded.Entry, "b")
	table.Release(forwarded, Report{Result: Unreachable}, time.Second)
	ticket, err = table.Submit(call(time.Hour), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(ticket.Ready()), 0)
}

// Guards against slots that are counted as free because the instance was missing
// from a listing while it ran calls.
func TestInstanceListedAgainKeepsItsCalls(t *testing.T) {
	table := newTestTable(listed("i1", "a", 1))
	ticket, err := table.Submit(call(time.Hour), 0)
	g := requireGrant(t, ticket, err)
	table.Update("x", nil, 0, testLease, 0)
	table.Update("x", []*peerv1.Instance{listed("i1", "a", 1)}, 0, testLease, 0)
	ticket, err = table.Submit(call(time.Hour), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(ticket.Ready()), 0)
	table.Release(g, Report{}, 0)
	assert.Equal(t, len(ticket.Ready()), 1)
}

// Guards against a retry on the instance that failed, and against a retry that
// waits although there is no other instance.
func TestTriedInstanceIsNotUsedAgain(t *testing.T) {
	table := newTestTable(listed("i1", "a", 1), listed("i2", "a", 1))
	c := call(time.Hour)
	c.Tried = []string{"i1"}
	ticket, err := table.Submit(c, 0)
	assert.Equal(t, requireGrant(t, ticket, err).InstanceID, "i2")
	c.Tried = []string{"i1", "i2"}
	_, err = table.Submit(c, 0)
	assert.ErrorContains(t, err, "no other instance")
}

// Guards against slots that are reported as released while a call uses them or,
// during a drain, while calls wait for them, and against their use after that
// report.
func TestReleaseOfSlots(t *testing.T) {
	for _, draining := range []bool{false, true} {
		table := newTestTable(listed("i1", "a", 1))
		ticket, err := table.Submit(call(time.Hour), 0)
		first := requireGrant(t, ticket, err)
		waiting, err := table.Submit(call(time.Hour), 0)
		assert.NilError(t, err)
		releasing := listed("i1", "a", 1)
		releasing.Release = 9
		if draining {
			table.Drain()
		}
		table.Update("x", []*peerv1.Instance{releasing}, 0, testLease, 0)
		assert.Equal(t, len(table.CompletedReleases()), 0)
		table.Release(first, Report{}, 0)
		assert.Equal(t, len(waiting.Ready()) == 1, draining, "only a drain serves waiting calls")
		if draining {
			table.Release(<-waiting.Ready(), Report{}, 0)
		}
		assert.DeepEqual(t, table.CompletedReleases(), []uint64{9})
		late, err := table.Submit(call(time.Hour), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(late.Ready()), 0)
	}
}

// Guards against the use of slots after the entry was paused for longer than its
// lease: its instance may be assigned to another entry by then.
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	table := newTestTable(listed("i1", "a", 1))
	table.Update("x", []*peerv1.Instance{listed("i1", "b", 1)}, 4*time.Second, testLease, 4*time.Second)
	ticket, err := table.Submit(call(time.Hour), 4*time.Second)
	assert.Equal(t, requireGrant(t, ticket, err).Entry, "b")
}

// Guards against more calls than slots on an instance that has restarted at its address: the
// entry sent calls to the earlier incarnation after its end, and they reached the later one.
func TestCallsToEarlierIncarnationUseSlots(t *testing.T) {
	first := listed("i1", "a", 2)
	table := newTestTable(first)
	var grants []Grant
	for range 2 {
		ticket, err := table.Submit(call(time.Hour), 0)
		grants = append(grants, requireGrant(t, ticket, err))
	}
	for incarnation := uint64(2); incarnation <= 3; incarnation++ {
		restarted := listed("i1", "a", 2)
		restarted.Incarnation = incarnation
		restarted.Release = 7
		table.Update("x", []*peerv1.Instance{restarted}, 0, testLease, 0)
		assert.Equal(t, len(table.CompletedReleases()), 0, "calls may use the slots")
		restarted.Release = 0
		table.Update("x", []*peerv1.Instance{restarted}, 0, testLease, 0)
		assert.Equal(t, table.Load(testService, 0).FreeSlots, 0)
	}
	waiting, err := table.Submit(call(time.Hour), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(waiting.Ready()), 0, "both slots may be in use")
	table.Release(grants[0], Report{Result: Answered, Took: time.Millisecond}, 0)
	g := requireGrant(t, waiting, nil)
	assert.Equal(t, g.Incarnation, uint64(3))
	table.Release(grants[1], Report{Result: Answered, Took: time.Millisecond}, 0)
	assert.Equal(t, table.Load(testService, 0).FreeSlots, 1)
	elsewhere := listed("i1", "a", 2)
	elsewhere.Incarnation, elsewhere.Address = 4, "addr-2"
	table.Update("x", []*peerv1.Instance{elsewhere}, 0, testLease, 0)
	assert.Equal(t, table.Load(testService, 0).FreeSlots, 2, "calls at another address cannot reach the instance")
}

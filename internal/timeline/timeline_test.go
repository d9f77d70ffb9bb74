package timeline

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/internal/hlc"
)

// newTestRing returns a ring whose wall clock always shows wallMs.
func newTestRing(process string, wallMs int64, capacity int) *Ring {
	clock := hlc.New(func() time.Time { return time.UnixMilli(wallMs) })
	return NewRing(clock, process, "Patan", capacity)
}

// Guards against a ring that grows without bound, loses new events instead of
// old ones, or does not count what it lost.
func TestFullShardOverwritesOldest(t *testing.T) {
	ring := newTestRing("p", 1e12, 4*shardCount)
	for i := range 10 {
		ring.Record(Event{Kind: Started, Job: "one", Task: fmt.Sprint(i)})
	}
	list := ring.Select(Filter{})
	assert.Equal(t, list.Dropped, uint64(6))
	assert.Equal(t, len(list.Events), 4)
	for i, e := range list.Events {
		assert.Equal(t, e.Task, fmt.Sprint(6+i))
	}
	assert.Equal(t, ring.Select(Filter{Limit: 1}).Events[0].Task, "9")
}

// Guards against data races and lost events between writers and readers; it is
// meaningful under -race.
func TestConcurrentRecordAndSelect(t *testing.T) {
	ring := newTestRing("p", 1e12, 1<<16)
	var wait sync.WaitGroup
	for w := range 4 {
		wait.Go(func() {
			for i := range 500 {
				ring.Record(Event{Kind: Ended, Job: fmt.Sprint(w, i)})
				if i%100 == 0 {
					ring.Select(Filter{Limit: 10})
				}
			}
		})
	}
	wait.Wait()
	list := ring.Select(Filter{})
	assert.Equal(t, uint64(len(list.Events))+list.Dropped, uint64(2000))
	assert.Equal(t, list.Dropped, uint64(0))
}

// Guards against filters that select the wrong events, and against an invalid
// query that is ignored instead of refused.
func TestHandlerFiltersAndRefusesInvalidQueries(t *testing.T) {
	ring := newTestRing("p", 1e12, 1024)
	ring.Record(Event{Kind: Submitted, Job: "j1", Team: "red", Request: "r1"})
	ring.Record(Event{Kind: Started, Job: "j1", Task: "0", Team: "red", Worker: "w1", Attempt: 7})
	ring.Record(Event{Kind: Started, Job: "j2", Task: "0", Team: "blue", Worker: "w2"})
	ring.Record(Event{Kind: Ended, Job: "j2", Task: "0", Team: "blue", Worker: "w1"})
	first := ring.Select(Filter{}).Events[0].Stamp
	server := httptest.NewServer(Handler(ring))
	defer server.Close()
	tests := []struct {
		query  string
		status int
		events int
	}{
		{"", 200, 4},
		{"job=j1", 200, 2},
		{"job=j2&kind=ended", 200, 1},
		{"kind=started&kind=ended", 200, 3},
		{"worker=w1", 200, 2},
		{"team=blue&task=0", 200, 2},
		{"request=r1", 200, 1},
		{"request=none", 200, 0},
		{"limit=3", 200, 3},
		{"after=" + first.String(), 200, 3},
		{"kind=begun", 400, 0},
		{"jop=j1", 400, 0},
		{"job=j1&job=j2", 400, 0},
		{"after=1", 400, 0},
		{"limit=x", 400, 0},
		{"limit=-1", 400, 0},
	}
	for _, test := range tests {
		t.Run(test.query, func(t *testing.T) {
			response, err := http.Get(server.URL + "/timeline?" + test.query)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, test.status)
			if test.status != 200 {
				return
			}
			var list List
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&list))
			assert.Equal(t, len(list.Events), test.events)
			assert.Equal(t, list.Process, "p")
		})
	}
	response, err := http.Post(server.URL, "text/plain", nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusMethodNotAllowed)
}

// Guards against a filter that changes when it is sent as query parameters.
func TestFilterSurvivesQueryParameters(t *testing.T) {
	want := Filter{Job: "a", Task: "1", Request: "b", Team: "c", Worker: "d", Kinds: []Kind{Routed, Retried}, After: 9, Limit: 5}
	query, err := url.ParseQuery(want.Values().Encode())
	assert.NilError(t, err)
	got, err := ParseFilter(query)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// Guards against a merge by wall clock: the wall clock of the receiver is 5 s
// behind that of the sender, yet its event must follow the one that caused it.
func TestMergeIsCausal(t *testing.T) {
	sender, receiver := newTestRing("b-sender", 1e12+5000, 64), newTestRing("a-receiver", 1e12, 64)
	receiver.Record(Event{Kind: ProcessStarted})
	sender.Record(Event{Kind: Forwarded, Request: "r"})
	_, err := receiver.clock.Observe(sender.clock.Now())
	assert.NilError(t, err)
	receiver.Record(Event{Kind: Routed, Request: "r"})
	_, err = sender.clock.Observe(receiver.clock.Now())
	assert.NilError(t, err)
	sender.Record(Event{Kind: Answered, Request: "r"})
	merged := Merge(receiver.Select(Filter{}), sender.Select(Filter{}), sender.Select(Filter{}))
	var kinds []Kind
	for _, e := range merged {
		kinds = append(kinds, e.Kind)
	}
	assert.DeepEqual(t, kinds, []Kind{ProcessStarted, Forwarded, Routed, Answered})
}

// Guards against a kind without a name, and against two kinds with one name.
func TestKindNamesAreUnique(t *testing.T) {
	for k := range kindCount {
		parsed, err := ParseKind(k.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, k)
	}
}

// Guards against a crash of a process that has no time line.
func TestNilRingDiscardsEvents(t *testing.T) {
	var ring *Ring
	ring.Record(Event{Kind: Started})
	assert.Equal(t, len(ring.Select(Filter{}).Events), 0)
}

package hlc

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a stamp that does not exceed those before it: in the same
// process while its wall clock jumps either way, or in the sender of a message.
func TestCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walls := [3]time.Time{}
		clocks := [3]*Clock{}
		for i := range clocks {
			walls[i] = time.UnixMilli(rapid.Int64Range(1e12, 1e12+1000).Draw(t, "start"))
			clocks[i] = New(func() time.Time { return walls[i] })
		}
		last := [3]Stamp{}
		one := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"wall": func(t *rapid.T) {
				i := one.Draw(t, "process")
				walls[i] = walls[i].Add(time.Duration(rapid.Int64Range(-5000, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"event": func(t *rapid.T) {
				i := one.Draw(t, "process")
				stamp := clocks[i].Now()
				assert.Assert(t, stamp > last[i])
				last[i] = stamp
			},
			"message": func(t *rapid.T) {
				from, to := one.Draw(t, "from"), one.Draw(t, "to")
				sent := clocks[from].Now()
				last[from] = sent
				received, err := clocks[to].Observe(sent)
				assert.NilError(t, err)
				assert.Assert(t, received > sent && received > last[to])
				last[to] = received
			},
		})
	})
}

// Guards against two goroutines getting the same stamp.
func TestConcurrentStampsDiffer(t *testing.T) {
	clock := New(func() time.Time { return time.UnixMilli(1e12) })
	stamps := make([][]Stamp, 4)
	var wait sync.WaitGroup
	for i := range stamps {
		wait.Go(func() {
			for range 5000 {
				stamps[i] = append(stamps[i], clock.Now())
			}
		})
	}
	wait.Wait()
	all := slices.Concat(stamps...)
	slices.Sort(all)
	assert.Equal(t, len(slices.Compact(all)), 20_000)
}

// Guards against one wrong clock or a corrupt header moving all stamps, also
// past the overflow of 64 bits.
func TestFarAheadIsIgnored(t *testing.T) {
	wall := time.UnixMilli(1e12)
	clock := New(func() time.Time { return wall })
	for _, ahead := range []Stamp{FromTime(wall.Add(MaxAhead)) + 1, ^Stamp(0)} {
		stamp, err := clock.Observe(ahead)
		assert.ErrorContains(t, err, "ahead of")
		assert.Assert(t, stamp < FromTime(wall.Add(time.Second)))
	}
	_, err := clock.Observe(FromTime(wall.Add(MaxAhead)))
	assert.NilError(t, err)
}

// Guards against causality that is lost between processes, in the request, in
// the answer, and in answers that a handler writes in different ways.
func TestHeaderCrossesProcesses(t *testing.T) {
	serverWall, clientWall := time.UnixMilli(1e12), time.UnixMilli(1e12+5000)
	server := New(func() time.Time { return serverWall })
	client := New(func() time.Time { return clientWall })
	var seen Stamp
	handlers := map[string]http.HandlerFunc{
		"nothing": func(http.ResponseWriter, *http.Request) { seen = server.Now() },
		"body":    func(w http.ResponseWriter, _ *http.Request) { seen = server.Now(); _, _ = w.Write([]byte("x")) },
		"status":  func(w http.ResponseWriter, _ *http.Request) { seen = server.Now(); w.WriteHeader(http.StatusTeapot) },
		"flush":   func(w http.ResponseWriter, _ *http.Request) { seen = server.Now(); w.(http.Flusher).Flush() },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(Handler(server, handler))
			defer s.Close()
			before := client.Now()
			request, err := http.NewRequest(http.MethodGet, s.URL, nil)
			assert.NilError(t, err)
			response, err := (&http.Client{Transport: Transport(client, http.DefaultTransport)}).Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, request.Header.Get(Header), "", "the caller's request was changed")
			assert.Assert(t, seen > before)
			assert.Assert(t, client.Now() > seen)
		})
	}
}

// Guards against stamps that change when written and read.
func TestStampText(t *testing.T) {
	stamp := FromTime(time.UnixMilli(1_764_000_000_123)) + 7
	parsed, err := Parse(stamp.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, stamp)
	assert.Equal(t, stamp.Time().UnixMilli(), int64(1_764_000_000_123))
	for _, bad := range []string{"", "1", "+000000000000001", "zzzzzzzzzzzzzzzz", "00000000000000001"} {
		_, err := Parse(bad)
		assert.ErrorContains(t, err, "16 hexadecimal digits", bad)
	}
}

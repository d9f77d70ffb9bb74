package state

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/statev1"
)

// The benchmarks measure the time of each command on a large state, and the bytes
// of each kind of record in memory and in a snapshot, as listed in docs/CAPACITY.md.

const (
	benchWorkers  = 700
	benchJobs     = 160_000
	benchRequests = 100_000
)

func benchID(n int) string { return fmt.Sprintf("00000000-%04x-7000-8000-%012x", n%60_000, n) }

func benchSpec() *statev1.WorkSpec {
	return &statev1.WorkSpec{Team: "a", Service: "s", Command: "order --foam", Tasks: 1, Idempotent: true, Size: &apiv1.Resources{MilliCpu: 10, MemoryBytes: 1 << 20}}
}

func benchJob(n int) *statev1.SubmitJob {
	return &statev1.SubmitJob{JobId: benchID(n), Spec: benchSpec(), Payload: make([]byte, 100)}
}

func benchWorker(n int) *statev1.RegisterWorker {
	return &statev1.RegisterWorker{WorkerId: fmt.Sprintf("worker-%d", n), Incarnation: 1, Rack: "r", Sequence: 1, Capacity: &apiv1.Resources{MilliCpu: 64_000, MemoryBytes: 128 << 30}}
}

func benchPlan(job, worker int) *statev1.Plan {
	return &statev1.Plan{Placements: []*statev1.Placement{{JobId: benchID(job), WorkerId: fmt.Sprintf("worker-%d", worker), Incarnation: 1}}}
}

func benchRequest(n int) *statev1.RecordRequest {
	return &statev1.RecordRequest{RequestId: benchID(n), Team: "a", Service: "s", Digest: 1, Owner: "entry-1/1", DeadlineMs: 10_000}
}

// largeState returns the state of one data centre that holds the jobs and requests
// of a day. One job in 16 is still running.
func largeState(b *testing.B) *fixture {
	f := newFixture(b, nil)
	f.do(&statev1.TakeAllotment{Team: "a", Grant: 2, Amount: &apiv1.Resources{MilliCpu: 1 << 40, MemoryBytes: 1 << 50}})
	for n := range benchWorkers {
		f.do(benchWorker(n))
	}
	for n := range benchJobs {
		f.do(benchJob(n))
		if r := f.do(benchPlan(n, n%benchWorkers)); n%16 != 0 {
			f.do(&statev1.EndAttempt{AttemptId: r.Placements[0].AttemptID, WorkerId: fmt.Sprintf("worker-%d", n%benchWorkers), Incarnation: 1, Outcome: 1, Answer: make([]byte, 100)})
		}
	}
	for n := range benchRequests {
		f.do(benchRequest(n))
		f.do(&statev1.EndRequest{RequestId: benchID(n), Owner: "entry-1/1", Outcome: 1, Body: make([]byte, 100)})
	}
	return f
}

// BenchmarkApply measures the time of one Apply per kind of command. It must be run
// with a fixed count, such as -benchtime 2000x: each sub-benchmark uses the records
// that the one before it created with the same numbers.
func BenchmarkApply(b *testing.B) {
	f := largeState(b)
	commands := []struct {
		name string
		make func(n int) proto.Message
	}{
		{"RegisterWorker", func(n int) proto.Message { return benchWorker(n) }},
		{"SubmitJob", func(n int) proto.Message { return benchJob(n) }},
		{"Plan", func(n int) proto.Message { return benchPlan(n, n%benchWorkers) }},
		{"CancelJob", func(n int) proto.Message { return &statev1.CancelJob{JobId: benchID(n)} }},
		{"EndAttempt", func(n int) proto.Message {
			return &statev1.EndAttempt{AttemptId: uint64(n + 1), WorkerId: fmt.Sprintf("worker-%d", n%benchWorkers), Incarnation: 1, Outcome: 1}
		}},
		{"RecordRequest", func(n int) proto.Message { return benchRequest(n) }},
		{"EndRequest", func(n int) proto.Message {
			return &statev1.EndRequest{RequestId: benchID(n), Owner: "entry-1/1", Outcome: 1, Body: make([]byte, 100)}
		}},
		{"AdvanceTime", func(n int) proto.Message { return &statev1.AdvanceTime{UnixMs: int64(n)} }},
	}
	for _, c := range commands {
		b.Run(c.name, func(b *testing.B) {
			encoded := make([][]byte, b.N)
			for n := range encoded {
				encoded[n] = f.encode(c.make(benchJobs + n))
			}
			b.ResetTimer()
			for _, command := range encoded {
				f.index++
				f.store.Apply(f.index, command)
			}
		})
	}
}

// BenchmarkSnapshot measures encoding and restoring a large state.
func BenchmarkSnapshot(b *testing.B) {
	f := largeState(b)
	var encoded []byte
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			encoded, _ = f.store.Snapshot()
		}
		b.ReportMetric(float64(len(encoded))/1e6, "MB")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			_ = New(noopObserver{}).Restore(1, encoded)
		}
	})
}

// BenchmarkBytes reports the bytes of one record in memory and in a snapshot, with
// a payload, answer or body of 100 bytes. It adds a fixed number of records in one
// pass and ignores b.N.
func BenchmarkBytes(b *testing.B) {
	const count = 20_000
	records := []struct {
		name string
		add  func(f *fixture, n int)
	}{
		{"worker", func(f *fixture, n int) { f.do(benchWorker(n)) }},
		{"waiting job", func(f *fixture, n int) { f.do(benchJob(n)) }},
		{"running job and attempt", func(f *fixture, n int) { f.do(benchJob(n)); f.do(benchPlan(n, n%benchWorkers)) }},
		{"request", func(f *fixture, n int) {
			f.do(benchRequest(n))
			f.do(&statev1.EndRequest{RequestId: benchID(n), Owner: "entry-1/1", Outcome: 1, Body: make([]byte, 100)})
		}},
		{"instance", func(f *fixture, n int) {
			f.do(&statev1.RegisterInstance{InstanceId: fmt.Sprintf("instance-%d", n), Incarnation: 1, Team: "a", Service: "s", Address: "127.0.0.1:10000", Slots: 8})
		}},
		{"team", func(f *fixture, n int) {
			f.do(&statev1.TakeAllotment{Team: fmt.Sprintf("team-%d", n), Grant: 1, Amount: &apiv1.Resources{MilliCpu: 1}})
		}},
	}
	for _, r := range records {
		b.Run(r.name, func(b *testing.B) {
			f := newFixture(b, nil)
			f.do(&statev1.TakeAllotment{Team: "a", Grant: 2, Amount: &apiv1.Resources{MilliCpu: 1 << 40, MemoryBytes: 1 << 50}})
			for n := range benchWorkers {
				f.do(benchWorker(1_000_000 + n))
				f.do(benchWorker(n))
			}
			first, _ := f.store.Snapshot()
			before := heapBytes()
			for n := range count {
				r.add(f, n)
			}
			after := heapBytes()
			last, _ := f.store.Snapshot()
			b.ReportMetric(float64(after-before)/count, "B/record")
			b.ReportMetric(float64(len(last)-len(first))/count, "snapshotB/record")
			runtime.KeepAlive(f)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["large-jobs"], cases["stored-jobs"] = largeJobs, storedJobs }

// maxBodyBytes is the limit of the configuration for the body of a request.
const maxBodyBytes = 262144

// largeJob returns the body of a job with as many steps as make it nearly as long as allowed.
func largeJob(step, rest string) []byte {
	const head = `{"spec":"20","steps":[`
	n := (maxBodyBytes - len(head) - len(rest) - 64) / (len(step) + 1)
	return []byte(head + strings.TrimSuffix(strings.Repeat(step+",", n), ",") + "]" + rest + "}")
}

// runningTasks knows how many tasks of each job run, and the processors that they use.
type runningTasks struct {
	mu    sync.Mutex
	byJob map[string]int
	inUse int
	cpu   func(job string) int
}

func (t *runningTasks) note(e runEvent) {
	job, _, _ := strings.Cut(e.task, ".")
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.how == "start" {
		t.byJob[job]++
		t.inUse += t.cpu(job)
		return
	}
	t.byJob[job]--
	t.inUse -= t.cpu(job)
}

// largeJobs checks the rule LOST for the ordinary jobs of another tenant: finish_s after the end of
// the traffic none may have nothing running for 3 s while a task's turn has come and most of the
// capacity is free.
func largeJobs(rec *record, trouble bool) (int, error) {
	const minions, minionCPU, taskCPU, largeCount = 8, 64000, 100, 40
	s, err := startSystem(rec, 3, 2, "", "")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return failed, err
	}
	if err := s.configure(config(1, []map[string]any{tenant("t1", "key1"), tenant("t2", "key2")}, "/bay/", "/foam/")); err != nil {
		return failed, err
	}
	running := &runningTasks{byJob: map[string]int{}, cpu: func(string) int { return taskCPU }}
	if _, err := newMinions(rec, s, minions, func(_ int, m *minion) { m.ran = func(_ *minion, e runEvent) { running.note(e) } }); err != nil {
		return failed, err
	}
	time.Sleep(7 * time.Second)
	handIn := func(i int, prefix, key, id string, body any) bool {
		status := s.submit(i, host, prefix+id, key, body, false)
		rec.linef("POST %s%s: %d", prefix, id, status)
		return status == 200
	}
	if trouble {
		body := largeJob(`{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":20}`, "")
		rec.linef("%d jobs with a body of %d bytes each", largeCount, len(body))
		for i := range largeCount {
			handIn(i, "/foam/", "key1", fmt.Sprintf("%016x", 0xf00+i), json.RawMessage(body))
		}
	}
	ordinary := map[string]any{"spec": "20", "steps": []map[string]any{{"count": 2, "cpu": taskCPU, "mem_mb": 64, "estimate_ms": 20}}}
	var jobs []string
	for i := range 10 {
		if id := fmt.Sprintf("%016x", 0xba0+i); handIn(i, "/bay/", "key2", id, ordinary) {
			jobs = append(jobs, id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.linef("end of the traffic; the jobs are asked for after finish_s")
	time.Sleep(14 * time.Second)
	idleSince := map[string]time.Time{}
	complete := map[string]bool{}
	until := time.Now().Add(25 * time.Second)
	for time.Now().Before(until) && len(complete) < len(jobs) {
		for i, id := range jobs {
			running.mu.Lock()
			busy, inUse := running.byJob[id] > 0, running.inUse
			running.mu.Unlock()
			if complete[id] {
				continue
			}
			if busy || inUse*2 >= minions*minionCPU {
				delete(idleSince, id)
				continue
			}
			since, idle := idleSince[id]
			if !idle {
				idleSince[id] = time.Now()
			}
			code, text := s.call("GET", s.fronts[i%len(s.fronts)], host, "/bay/"+id, "key2", nil)
			if code == 200 && strings.Contains(text, `"complete"`) {
				complete[id] = true
				continue
			}
			if idle && time.Since(since) > 3*time.Second {
				rec.linef("LOST is broken: /bay/%s has nothing running for %.1f s, %d of %d cores are in use; GET: %d %s", id, time.Since(since).Seconds(), inUse/1000, minions*minionCPU/1000, code, strings.TrimSpace(text))
				return broken, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	rec.linef("%d of %d accepted ordinary jobs are complete, none stood still", len(complete), len(jobs))
	return held, nil
}

// storedJobs checks the rule on faults: on half of the core, processes may not end three times
// because they use more than memory_mb. The platform kills such a process and starts it again.
func storedJobs(rec *record, trouble bool) (int, error) {
	s, err := startSystem(rec, 3, 2, "", "")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return failed, err
	}
	if err := s.configure(config(1, []map[string]any{tenant("t1", "key1"), tenant("t2", "key2")}, "/bay/", "/foam/")); err != nil {
		return failed, err
	}
	if _, err := newMinions(rec, s, 8, nil); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	stop, killed := make(chan struct{}), make([]int, len(s.cells))
	var mu sync.Mutex
	var watchers sync.WaitGroup
	for i, p := range s.cells {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				mb := p.memoryMB()
				if mb <= cellMemoryMB {
					continue
				}
				p.kill()
				mu.Lock()
				killed[i]++
				rec.linef("%s uses %d MiB, more than memory_mb = %d: the platform kills it, for the %d. time", p.name, mb, cellMemoryMB, killed[i])
				mu.Unlock()
				time.Sleep(time.Second)
				if err := p.start(); err != nil {
					rec.linef("start: %v", err)
				}
			}
		}()
	}
	defer watchers.Wait()
	defer close(stop)
	count := 20
	if trouble {
		count = 300
	}
	oftenKilled := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, times := range killed {
			if times >= 3 {
				n++
			}
		}
		return n
	}
	due := time.Now().Add(time.Hour).UnixMilli()
	body := json.RawMessage(largeJob(`{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}`, fmt.Sprintf(`,"repeats":1,"start_at_ms":%d,"interval_ms":1000`, due)))
	rec.linef("%d jobs that are due in an hour, with a body of %d bytes each", count, len(body))
	status := map[int]int{}
	until := time.Now().Add(50 * time.Second)
	for i := 0; i < count && time.Now().Before(until) && oftenKilled() < len(killed); i++ {
		code, _ := s.call("POST", s.fronts[i%2], host, fmt.Sprintf("/foam/%016x", 0xf000+i), "key1", body)
		status[code]++
		if (i+1)%50 == 0 {
			rec.linef("%d jobs sent, answers by status (0: none) %v; memory %d %d %d MiB", i+1, status, s.cells[0].memoryMB(), s.cells[1].memoryMB(), s.cells[2].memoryMB())
		}
	}
	rec.linef("no more jobs are sent; answers by status %v", status)
	answers := map[int]int{}
	for asked := time.Now(); time.Since(asked) < 20*time.Second; time.Sleep(time.Second) {
		code, _ := s.call("GET", s.fronts[0], host, "/foam/000000000000f000", "key1", nil)
		answers[code]++
	}
	rec.linef("GET of the first accepted job, again and again for 20 s: answers by status %v", answers)
	if n := oftenKilled(); n*2 >= len(killed) {
		rec.linef("Fault is broken: processes ended three times or more on %d of %d core machines", n, len(killed))
		return broken, nil
	}
	return held, nil
}

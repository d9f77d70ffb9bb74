package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["late-start"] = lateStart }

// lateStart checks the rule TWICE: two runs of one task may not run at the same time on minions
// that are up. A start order has no answer, its minion crashes, and carries the order out 0.2 s
// after it is up again under its id.
func lateStart(rec *record, trouble bool) (int, error) {
	s, err := startSystem(rec, 3, 2, "", "")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return failed, err
	}
	if err := s.configure(config(1, []map[string]any{tenant("t1", "key1")}, "/foam/")); err != nil {
		return failed, err
	}
	const id = "00000000000000d1"
	var mu sync.Mutex
	running, twice := map[string]string{}, ""
	var heldOrder *startOrder
	var heldBy *minion
	taken := make(chan struct{})
	_, err = newMinions(rec, s, 8, func(_ int, m *minion) {
		m.held = func(m *minion, o *startOrder) bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || heldOrder != nil || !strings.HasPrefix(o.Task, id) {
				return false
			}
			heldOrder, heldBy = o, m
			rec.linef("%s: the order to start %s run %d has no answer, and will be carried out late", m.id, o.Task, o.Run)
			close(taken)
			return true
		}
		m.ran = func(m *minion, e runEvent) {
			if !strings.HasPrefix(e.task, id) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if e.how != "start" {
				delete(running, m.id)
				return
			}
			for other := range running {
				twice = m.id + " and " + other
			}
			running[m.id] = e.task
		}
	})
	if err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	job := map[string]any{"spec": "2500", "steps": []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 2000}}}
	rec.linef("POST /foam/%s: %d", id, s.submit(0, host, "/foam/"+id, "key1", job, true))
	if trouble {
		<-taken
		time.Sleep(50 * time.Millisecond)
		rec.linef("%s crashes", heldBy.id)
		heldBy.crash()
		time.Sleep(3 * time.Second)
		if err := heldBy.start(); err != nil {
			return failed, err
		}
		time.Sleep(200 * time.Millisecond)
		status, reason := heldBy.execute(heldBy.current(), heldOrder)
		rec.linef("%s is up again under its id and carries the late order out: %d %s", heldBy.id, status, reason)
	}
	until := time.Now().Add(25 * time.Second)
	for time.Now().Before(until) {
		if _, state := s.state(host, "/foam/"+id, "key1"); state == "complete" {
			rec.linef("the job is complete")
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if twice != "" {
		rec.linef("TWICE is broken: the task ran at the same time on %s", twice)
		return broken, nil
	}
	return held, nil
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["crashes"] = crashes }

// crashes checks the rule LOST: a job may not be shown as failed if no run of its tasks has ended
// failed. One of eight minions crashes three times while it runs the only task of a job.
func crashes(rec *record, trouble bool) (int, error) {
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
	const id = "00000000000000c1"
	var mu sync.Mutex
	ends := map[string]int{}
	starts := make(chan *minion, 100)
	minions, err := newMinions(rec, s, 8, func(i int, m *minion) {
		if i == 0 {
			m.labels = []string{"b", "r1-0"} // the only one of its kind
		}
		m.ran = func(m *minion, e runEvent) {
			if !strings.HasPrefix(e.task, id) {
				return
			}
			if e.how == "start" {
				starts <- m
				return
			}
			mu.Lock()
			ends[e.how]++
			mu.Unlock()
		}
	})
	if err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	job := map[string]any{"spec": "3000", "steps": []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 3000, "required_label": "b"}}}
	status := s.submit(0, host, "/foam/"+id, "key1", job, true)
	rec.linef("POST /foam/%s: %d", id, status)
	if status != 200 {
		return failed, fmt.Errorf("the job is not accepted")
	}
	for n := 1; trouble && n <= 3; n++ {
		var m *minion
		select {
		case m = <-starts:
		case <-time.After(25 * time.Second):
			rec.linef("the task has not started again after 25 s")
		}
		if m == nil {
			break
		}
		time.Sleep(1500 * time.Millisecond)
		rec.linef("%s crashes, for the %d. time", m.id, n)
		m.crash()
		time.Sleep(time.Second)
		if err := minions[0].start(); err != nil {
			return failed, err
		}
		rec.linef("%s is up again under its id", m.id)
	}
	until := time.Now().Add(40 * time.Second)
	for time.Now().Before(until) {
		code, state := s.state(host, "/foam/"+id, "key1")
		switch state {
		case "failed":
			mu.Lock()
			defer mu.Unlock()
			rec.linef("GET: %d failed; the ends of the task's runs: %v", code, ends)
			if ends["failed"] == 0 {
				rec.linef("LOST is broken: the job is shown as failed, and no run has ended failed")
				return broken, nil
			}
			return held, nil
		case "complete":
			rec.linef("GET: %d complete", code)
			return held, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	rec.linef("the job is not complete after 40 s")
	return held, nil
}

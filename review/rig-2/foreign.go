package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign checks the rule TWICE while a heartbeat of another writer arrives that names a service
// which no configuration has, under the id of a minion.
func foreign(rec *record, trouble bool) (int, error) {
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
	const id = "00000000000000e1"
	var mu sync.Mutex
	running, twice := map[string]string{}, map[string]string{}
	starts := make(chan *minion, 100)
	_, err = newMinions(rec, s, 8, func(_ int, m *minion) {
		m.ran = func(m *minion, e runEvent) {
			if !strings.HasPrefix(e.task, id) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if e.how != "start" {
				delete(running, e.task+" "+m.id)
				return
			}
			for other := range running {
				if task, on, _ := strings.Cut(other, " "); task == e.task {
					twice[task] = m.id + " and " + on
				}
			}
			running[e.task+" "+m.id] = ""
			starts <- m
		}
	})
	if err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	job := map[string]any{"spec": "4000", "steps": []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 4000}}}
	rec.linef("POST /foam/%s: %d", id, s.submit(0, host, "/foam/"+id, "key1", job, true))
	if trouble {
		m := <-starts
		time.Sleep(1500 * time.Millisecond)
		beat := map[string]any{
			"service": "kiosk", "addr": "127.0.0.1:9", "zone": "balaju", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r1-3"}, "clock_ms": 1000, "seq": 1, "born": time.Now().UnixMilli(),
		}
		code, text := s.call("POST", s.control[0], "", "/instances/"+m.id+"/heartbeat", "", beat)
		rec.linef("heartbeat of another writer under the id %s, service kiosk: %d %s", m.id, code, strings.TrimSpace(text))
	}
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		if _, state := s.state(host, "/foam/"+id, "key1"); state == "complete" {
			rec.linef("the job is complete")
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	for task, on := range twice {
		rec.linef("TWICE is broken: %s ran at the same time on %s", task, on)
		return broken, nil
	}
	return held, nil
}

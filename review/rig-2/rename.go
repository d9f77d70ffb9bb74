package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["rename"] = rename }

// rename checks the rule LOST, and UNASKED beside it, for a job of a tenant that a new
// configuration gives another name, with the same keys.
func rename(rec *record, trouble bool) (int, error) {
	s, err := startSystem(rec, 3, 2, "", "")
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return failed, err
	}
	const path, id = "/foam/00000000000000b7", "00000000000000b7"
	if err := s.configure(config(1, []map[string]any{tenant("north", "key1"), tenant("south", "key2")}, "/bay/", "/foam/")); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	running := 0
	if _, err := newMinions(rec, s, 8, func(_ int, m *minion) {
		m.ran = func(_ *minion, e runEvent) {
			if !strings.HasPrefix(e.task, id) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if e.how == "start" {
				running++
				return
			}
			running--
		}
	}); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	job := map[string]any{"spec": "600000", "steps": []map[string]any{{"count": 2, "cpu": 2000, "mem_mb": 512, "daemon": true}}}
	rec.linef("POST %s: %d", path, s.submit(0, host, path, "key1", job, true))
	time.Sleep(3 * time.Second)
	code, state := s.state(host, path, "key1")
	rec.linef("GET %s: %d %s", path, code, state)
	name := "north"
	if trouble {
		name = "north-2"
	}
	if err := s.configure(config(2, []map[string]any{tenant(name, "key1"), tenant("south", "key2")}, "/bay/", "/foam/")); err != nil {
		return failed, err
	}
	rec.linef("version 2 is acknowledged: the tenant with the key key1 is called %s", name)
	time.Sleep(6 * time.Second)
	code, state = s.state(host, path, "key1")
	rec.linef("GET %s: %d %s", path, code, state)
	lost := code == 410
	code, _ = s.call("DELETE", s.fronts[0], host, path, "key1", nil)
	rec.linef("DELETE %s: %d", path, code)
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	rec.linef("5 s later %d of the job's tasks run", running)
	if running > 0 && (code == 200 || code == 410) {
		rec.linef("UNASKED is broken: the cancelling was acknowledged with %d, and the tasks run on later than cancel_ms and stop_timeout_ms after that", code)
	}
	if lost {
		rec.linef("LOST is broken: the GET of an accepted job that nobody had cancelled was answered with 410")
		return broken, nil
	}
	if running > 0 {
		return broken, nil
	}
	return held, nil
}

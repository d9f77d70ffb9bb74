package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minion is a stand-in for one server that runs tasks, as PROTOCOL.md describes it. The spec of
// a job gives the run time of its tasks in milliseconds.
type minion struct {
	rec     *record
	id      string
	service string
	zone    string
	labels  []string
	cpu     int
	control []string
	// held, if not nil, is called with each start order. If it returns true, the order has no
	// answer, and whoever took it calls execute later.
	held func(m *minion, o *startOrder) bool
	// refuse, if not nil, returns the status with which an unhealthy minion rejects a start.
	refuse func(m *minion, o *startOrder) int
	// ran, if not nil, is called when a task begins and when it has ended.
	ran func(m *minion, e runEvent)

	mu       sync.Mutex
	address  string
	listener net.Listener
	server   *http.Server
	life     *life
	dead     chan struct{} // closed when the life ends
}

// lastingTime is the run time from which a task counts as one that lasts.
const lastingTime = 10 * time.Minute

// life is what a minion knows in one incarnation.
type life struct {
	born     int64
	began    time.Time
	seq      uint64
	fence    uint64
	deadline int64
	running  map[string]*run
	ended    []ended
	lastEnd  uint64
	rejected map[string]uint32 // the highest run that was stopped or has ended, by task
	changed  chan struct{}
}

type run struct {
	task  string
	run   uint32
	began time.Time
	took  time.Duration
	stop  chan struct{}
}

type ended struct {
	number uint64
	task   string
	run    uint32
	how    string
}

type runEvent struct {
	task string
	run  uint32
	how  string // "start" or how it ended
}

type startOrder struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence"`
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1000 }

func (m *minion) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.listener, m.address = l, l.Addr().String()
	m.life = &life{born: time.Now().UnixMilli(), began: time.Now(), running: map[string]*run{}, rejected: map[string]uint32{}, changed: make(chan struct{})}
	m.dead = make(chan struct{})
	mux := http.NewServeMux()
	own := m.life
	serve := func(f func(l *life, w http.ResponseWriter, body []byte)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			body := make([]byte, 0, 1024)
			buffer := make([]byte, 4096)
			for {
				n, err := r.Body.Read(buffer)
				body = append(body, buffer[:n]...)
				if err != nil {
					break
				}
			}
			f(own, w, body)
		}
	}
	mux.HandleFunc("POST /run-start", serve(m.onStart))
	mux.HandleFunc("POST /run-stop", serve(m.onStop))
	mux.HandleFunc("POST /hold", serve(m.onHold))
	mux.HandleFunc("POST /pace", serve(func(l *life, w http.ResponseWriter, _ []byte) { m.reply(l, w, 200, nil) }))
	m.server = &http.Server{Handler: mux}
	go func(s *http.Server, l net.Listener) { _ = s.Serve(l) }(m.server, l)
	go m.beat(own, m.dead)
	go m.watchLease(own, m.dead)
	return nil
}

// crash ends the incarnation: what ran there is gone and its connections break.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return
	}
	close(m.dead)
	_ = m.server.Close()
	for _, r := range m.life.running {
		close(r.stop)
		m.note(runEvent{r.task, r.run, "crashed"})
	}
	m.life = nil
}

func (m *minion) note(e runEvent) {
	m.rec.linef("%s: %s run %d %s", m.id, e.task, e.run, e.how)
	if m.ran != nil {
		m.ran(m, e)
	}
}

// beat sends the heartbeats, each to the next node until one acknowledges it.
func (m *minion) beat(own *life, dead chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	to := 0
	for {
		m.mu.Lock()
		own.seq++
		data, _ := json.Marshal(map[string]any{
			"service": m.service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 131072, "gpu": 0}, "labels": m.labels, "clock_ms": own.clock(), "seq": own.seq, "born": own.born,
		})
		m.mu.Unlock()
		for range len(m.control) {
			r, err := client.Post("http://"+m.control[to%len(m.control)]+"/instances/"+m.id+"/heartbeat", "application/json", strings.NewReader(string(data)))
			if err == nil {
				r.Body.Close()
				if r.StatusCode/100 == 2 {
					break
				}
			}
			to++
		}
		select {
		case <-dead:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// watchLease kills what runs once its lease has expired.
func (m *minion) watchLease(own *life, dead chan struct{}) {
	for {
		select {
		case <-dead:
			return
		case <-time.After(5 * time.Millisecond):
		}
		m.mu.Lock()
		for task, r := range own.running {
			if own.clock() > own.deadline {
				close(r.stop)
				m.end(own, task, r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// end records the end of a run. The caller holds the lock.
func (m *minion) end(l *life, task string, r *run, how string) {
	delete(l.running, task)
	l.lastEnd++
	l.ended = append(l.ended, ended{l.lastEnd, task, r.run, how})
	l.rejected[task] = max(l.rejected[task], r.run)
	close(l.changed)
	l.changed = make(chan struct{})
	m.note(runEvent{task, r.run, how})
}

func (m *minion) reply(l *life, w http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clock_ms": l.clock(), "born": l.born}
	for k, v := range more {
		body[k] = v
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *minion) onStart(l *life, w http.ResponseWriter, body []byte) {
	var o startOrder
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(400)
		return
	}
	if m.held != nil && m.held(m, &o) {
		time.Sleep(3 * time.Second) // no answer in time
		return
	}
	if m.refuse != nil {
		if status := m.refuse(m, &o); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	status, reason := m.execute(l, &o)
	if reason != "" {
		m.reply(l, w, status, map[string]any{"reason": reason})
		return
	}
	m.reply(l, w, status, nil)
}

// execute carries out a start order in a life.
func (m *minion) execute(l *life, o *startOrder) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != l {
		return 503, ""
	}
	if o.Fence < l.fence {
		return 409, "fence"
	}
	l.fence = o.Fence
	if o.Deadline <= l.clock() {
		return 409, "late"
	}
	l.deadline = max(l.deadline, min(o.Deadline, l.clock()+6000))
	if old := l.running[o.Task]; old != nil && old.run == o.Run {
		return 200, ""
	}
	if o.Run <= l.rejected[o.Task] || l.running[o.Task] != nil {
		return 409, "old"
	}
	took, _ := strconv.Atoi(o.Spec)
	r := &run{task: o.Task, run: o.Run, began: time.Now(), took: time.Duration(took) * time.Millisecond, stop: make(chan struct{})}
	l.running[o.Task] = r
	m.note(runEvent{o.Task, o.Run, "start"})
	go func() {
		select {
		case <-r.stop:
			return
		case <-time.After(r.took):
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if l.running[o.Task] == r {
			m.end(l, o.Task, r, "done")
		}
	}()
	return 200, ""
}

func (m *minion) onStop(l *life, w http.ResponseWriter, body []byte) {
	var o startOrder
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(400)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Fence < l.fence {
		m.reply(l, w, 409, map[string]any{"reason": "fence"})
		return
	}
	l.fence = o.Fence
	if r := l.running[o.Task]; r != nil && r.run <= o.Run {
		close(r.stop)
		m.end(l, o.Task, r, "stopped")
	}
	l.rejected[o.Task] = max(l.rejected[o.Task], o.Run)
	m.reply(l, w, 200, nil)
}

func (m *minion) onHold(l *life, w http.ResponseWriter, body []byte) {
	var o struct {
		Fence    uint64 `json:"fence"`
		Acked    uint64 `json:"acked_upto"`
		Deadline int64  `json:"deadline_ms"`
		Wait     int64  `json:"wait_ms"`
	}
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(400)
		return
	}
	m.mu.Lock()
	if o.Fence < l.fence {
		defer m.mu.Unlock()
		m.reply(l, w, 409, map[string]any{"reason": "fence"})
		return
	}
	l.fence = o.Fence
	if o.Deadline > 0 {
		l.deadline = max(l.deadline, min(o.Deadline, l.clock()+6000))
	}
	for len(l.ended) > 0 && l.ended[0].number <= o.Acked {
		l.ended = l.ended[1:]
	}
	changed, has := l.changed, len(l.ended) > 0
	m.mu.Unlock()
	if !has && o.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != l {
		return
	}
	runningRows, endedRows := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := 0
		if r.took > 0 {
			percent = min(99, int(100*time.Since(r.began)/r.took))
		}
		if r.took >= lastingTime {
			percent = 100 // it lasts, and is at work
		}
		runningRows = append(runningRows, []any{r.task, r.run, "", percent, 100})
	}
	for _, e := range l.ended[:min(500, len(l.ended))] {
		endedRows = append(endedRows, []any{e.number, e.task, e.run, e.how, ""})
	}
	m.reply(l, w, 200, map[string]any{"running": runningRows, "ended": endedRows})
}

// current returns the life of the minion, nil while it is down.
func (m *minion) current() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// newMinions starts n minions of about 64 cores.
func newMinions(rec *record, s *system, n int, change func(i int, m *minion)) ([]*minion, error) {
	zones := []string{"balaju", "patan", "bhaktapur", "kalanki"}
	var list []*minion
	for i := range n {
		m := &minion{rec: rec, id: fmt.Sprintf("i-%08x", 0x1000+i), service: "planner", zone: zones[i%4], labels: []string{"a", fmt.Sprintf("r1-%d", i/6)}, cpu: 64000, control: s.control}
		if change != nil {
			change(i, m)
		}
		if err := m.start(); err != nil {
			return list, err
		}
		list = append(list, m)
	}
	return list, nil
}

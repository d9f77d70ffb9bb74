package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the platform, as the pages give them for the two small deployments.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 6000 // max_hold_ms
	drainTime         = 2 * time.Second
	stopTime          = 50 * time.Millisecond // at most stop_timeout_ms
	maxListedEnds     = 500
	maxWait           = 2 * time.Second
)

// taskSpec is the spec of the jobs of this rig; it tells a minion how long a task works.
type taskSpec struct {
	MinMS  int  `json:"min_ms"`
	MaxMS  int  `json:"max_ms"`
	Daemon bool `json:"daemon"`
}

// interval is one run of a task, as the minion itself saw it.
type interval struct {
	task   string
	run    uint32
	minion string
	born   int64
	start  time.Time
	end    time.Time // zero while it runs
	how    string    // how the minion lists the end; "crash" or "left" if it does not
	noted  time.Time // when acked_upto reached the end
	lapsed bool      // the lease lapsed between the end and noted
	number uint64
	took   time.Duration
	timer  *time.Timer
}

// minion is a stand-in for one minion of the platform. It follows the section on running
// tasks and the section on service discovery of PROTOCOL.md.
type minion struct {
	r          *rig
	id         string
	service    string
	zone       string
	labels     []string
	address    string // what it reports
	listen     string // what it listens on
	cpu, memMB int64
	// nodes are the control addresses that it calls.
	nodes []string
	// mapNode, if not nil, maps a control address to the one that is dialled.
	mapNode func(string) string

	mu       sync.Mutex
	up       bool
	born     int64
	began    time.Time
	fence    uint64
	lease    int64
	seq      uint64
	state    string
	prefer   string
	running  map[string]*interval
	highest  map[string]uint32
	ended    []*interval
	lastEnd  uint64
	acked    uint64
	endEvent chan struct{}
	server   *http.Server
	stopBeat context.CancelFunc
	client   *http.Client
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() + 1 }

// start begins a life of the minion.
func (m *minion) start() error {
	l, err := net.Listen("tcp", m.listen)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.up, m.began, m.born = true, time.Now(), time.Now().UnixMilli()
	m.fence, m.lease, m.seq, m.state, m.lastEnd, m.acked = 0, 0, 0, "ready", 0, 0
	m.running, m.highest, m.ended = map[string]*interval{}, map[string]uint32{}, nil
	m.endEvent = make(chan struct{})
	m.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.runStart)
	mux.HandleFunc("POST /run-stop", m.runStop)
	mux.HandleFunc("POST /pace", m.pace)
	mux.HandleFunc("POST /hold", m.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	m.stopBeat = cancel
	server := m.server
	m.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go m.beat(ctx)
	go m.watchLease(ctx)
	m.r.log("minion %s up, born %d", m.id, m.born)
	return nil
}

// stop ends the life. Everything that runs on the minion terminates.
func (m *minion) stop(how string) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	m.stopBeat()
	now := time.Now()
	for _, i := range m.running {
		i.timer.Stop()
		i.end, i.how = now, how
	}
	n := len(m.running)
	m.running = map[string]*interval{}
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	m.r.log("minion %s down (%s), %d tasks end", m.id, how, n)
}

func (m *minion) call(node, path string, body any) (map[string]any, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	if m.mapNode != nil {
		node = m.mapNode(node)
	}
	response, err := m.client.Post("http://"+node+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	answer := map[string]any{}
	_ = json.Unmarshal(text, &answer)
	return answer, nil
}

// sendBeat sends one heartbeat, to the next node after each failure.
func (m *minion) sendBeat(ctx context.Context) bool {
	m.mu.Lock()
	m.seq++
	body := map[string]any{
		"service": m.service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state, "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0}, "labels": m.labels, "clock_ms": m.clock(), "seq": m.seq, "born": m.born,
	}
	if m.state == "draining" {
		body["drain_remaining_ms"] = drainTime.Milliseconds()
	}
	nodes := append([]string{}, m.nodes...)
	if m.prefer != "" {
		nodes = append([]string{m.prefer}, nodes...)
	}
	m.mu.Unlock()
	for _, node := range nodes {
		if ctx.Err() != nil {
			return false
		}
		answer, err := m.call(node, "/instances/"+m.id+"/heartbeat", body)
		m.mu.Lock()
		if err != nil {
			m.prefer = ""
			m.mu.Unlock()
			continue
		}
		m.prefer, _ = answer["heartbeat_addr"].(string)
		m.r.setLeader(m.prefer)
		m.mu.Unlock()
		return true
	}
	return false
}

func (m *minion) beat(ctx context.Context) {
	for ctx.Err() == nil {
		m.sendBeat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// leave drains and deregisters. Without an acknowledgement the minion ends anyway, after
// patience.
func (m *minion) leave(patience time.Duration, beforeDeregister func()) {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	for !m.sendBeat(context.Background()) {
		time.Sleep(100 * time.Millisecond)
	}
	m.r.log("minion %s: its report that it drains is acknowledged", m.id)
	time.Sleep(drainTime + 300*time.Millisecond)
	m.mu.Lock()
	m.stopBeat()
	body := map[string]any{"born": m.born}
	nodes := append([]string{m.prefer}, m.nodes...)
	m.mu.Unlock()
	beforeDeregister()
	until := time.Now().Add(patience)
	for i := 0; time.Now().Before(until); i++ {
		node := nodes[i%len(nodes)]
		if node == "" {
			continue
		}
		m.r.log("minion %s sends deregister to %s", m.id, node)
		_, err := m.call(node, "/instances/"+m.id+"/deregister", body)
		if err == nil {
			m.r.log("minion %s: deregister acknowledged", m.id)
			break
		}
		m.r.log("minion %s: deregister not acknowledged: %v", m.id, err)
	}
	m.stop("left")
}

// watchLease ends everything when the lease expires.
func (m *minion) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		if m.up && m.clock() >= m.lease {
			for _, i := range m.ended {
				if i.noted.IsZero() {
					i.lapsed = true
				}
			}
			for _, i := range m.running {
				m.endRun(i, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// endRun ends a run and lists its end. The caller holds m.mu.
func (m *minion) endRun(i *interval, how string) {
	if m.running[i.task] != i {
		return
	}
	i.timer.Stop()
	delete(m.running, i.task)
	m.lastEnd++
	i.end, i.how, i.number = time.Now(), how, m.lastEnd
	m.ended = append(m.ended, i)
	m.r.log("minion %s: end %d of %s run %d: %s", m.id, i.number, i.task, i.run, how)
	close(m.endEvent)
	m.endEvent = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	AckedUpto  uint64 `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

// read decodes an order and checks its addressee and fence. The caller holds m.mu if it
// returns true.
func (m *minion) read(w http.ResponseWriter, r *http.Request) (*order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, false
	}
	if o.Fence < m.fence {
		m.reply(w, http.StatusConflict, "fence")
		m.mu.Unlock()
		return nil, false
	}
	m.fence = o.Fence
	return &o, true
}

// reply writes a response without lists. The caller holds m.mu.
func (m *minion) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": m.clock(), "born": m.born}
	if reason != "" {
		body["reason"] = reason
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// extend extends the lease. The caller holds m.mu.
func (m *minion) extend(deadline int64) {
	m.lease = max(m.lease, min(deadline, m.clock()+maxHold))
}

func (m *minion) runStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.read(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	if i := m.running[o.Task]; i != nil && i.run == o.Run {
		m.extend(o.DeadlineMS)
		m.reply(w, http.StatusOK, "")
		return
	}
	if m.clock() >= o.DeadlineMS {
		m.reply(w, http.StatusConflict, "late")
		return
	}
	m.extend(o.DeadlineMS)
	if m.highest[o.Task] >= o.Run {
		m.reply(w, http.StatusConflict, "old")
		return
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.highest[o.Task] = o.Run
	i := &interval{task: o.Task, run: o.Run, minion: m.id, born: m.born, start: time.Now()}
	i.took = time.Duration(spec.MinMS+m.r.random(spec.MaxMS-spec.MinMS)) * time.Millisecond
	if spec.Daemon {
		i.took = time.Hour
	}
	i.timer = time.AfterFunc(i.took, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.up {
			m.endRun(i, "done")
		}
	})
	m.running[o.Task] = i
	m.r.addRun(i)
	m.r.log("minion %s: start of %s run %d, fence %d", m.id, o.Task, o.Run, o.Fence)
	m.reply(w, http.StatusOK, "")
}

func (m *minion) runStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.read(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	m.r.log("minion %s: stop of %s run %d", m.id, o.Task, o.Run)
	if i := m.running[o.Task]; i != nil && i.run <= o.Run {
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.up {
				m.endRun(i, "stopped")
			}
		})
	}
	m.reply(w, http.StatusOK, "")
}

func (m *minion) pace(w http.ResponseWriter, r *http.Request) {
	if _, ok := m.read(w, r); ok {
		m.reply(w, http.StatusOK, "")
		m.mu.Unlock()
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.read(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	if o.DeadlineMS > 0 {
		m.extend(o.DeadlineMS)
	}
	now := time.Now()
	kept := m.ended[:0]
	for _, i := range m.ended {
		if i.number <= o.AckedUpto {
			i.noted = now
			continue
		}
		kept = append(kept, i)
	}
	m.ended = kept
	if o.AckedUpto > m.acked {
		m.acked = o.AckedUpto
		m.r.log("minion %s: acked_upto %d", m.id, o.AckedUpto)
	}
	if len(m.ended) == 0 && o.WaitMS > 0 {
		event := m.endEvent
		m.mu.Unlock()
		select {
		case <-event:
		case <-time.After(min(maxWait, time.Duration(o.WaitMS)*time.Millisecond)):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, i := range m.running {
		percent := min(99, float64(time.Since(i.start)*100)/float64(i.took))
		if i.took == time.Hour && time.Since(i.start) > 300*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{i.task, i.run, "", percent, 0})
	}
	for _, i := range m.ended {
		if len(ended) == maxListedEnds {
			break
		}
		ended = append(ended, []any{i.number, i.task, i.run, i.how, ""})
	}
	if len(ended) == maxListedEnds {
		m.r.log("minion %s: %d ends wait, %d of them listed; %d tasks run", m.id, len(m.ended), len(ended), len(m.running))
	}
	writeBody(w, http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born, "running": running, "ended": ended})
}

// tasks returns how many tasks run on the minion.
func (m *minion) tasks() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}

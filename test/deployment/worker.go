package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	maxLeaseMS    = 6000
	maxListedEnds = 500
)

// heartbeat takes the address, the data centre, the processor in thousandths of a core, the clock
// in ms, the number and the Unix time of the start in ms.
const heartbeat = `{"service":"huvo11a","addr":"%s","zone":"%s","version":"v1","slots":8,"state":"ready","cold_left_ms":0,` +
	`"capacity":{"cpu":%d,"mem_mb":131072,"gpu":0},"labels":["a","r1-3"],"clock_ms":%d,"seq":%d,"born":%d}`

// worker is a stand-in for a worker. The spec of a task is its duration in ms.
type worker struct {
	d                     *Deployment
	id, address, dataZone string
	began                 time.Time
	settings              Workers

	mu      sync.Mutex
	fence   uint64
	lease   int64 // on the worker's clock, ms
	running map[string]uint32
	highest map[string]uint32
	ended   [][]any
	lastEnd uint64
	event   chan struct{} // closed when a task ends
}

func startWorker(t testing.TB, d *Deployment, i int, address string, settings Workers) {
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	w := &worker{
		d: d, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), address: address, dataZone: "zone-" + string(rune('a'+(i-1)%3)), began: time.Now(), settings: settings,
		running: map[string]uint32{}, highest: map[string]uint32{}, event: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.runStart))
	mux.HandleFunc("POST /run-stop", w.order(w.runStop))
	mux.HandleFunc("POST /pace", w.order(func(http.ResponseWriter, *order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", w.order(w.hold))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	go w.report(t.Context())
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// report sends heartbeats to the address named last or, if that fails, to the control
// processes in turn.
func (w *worker) report(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	address := ""
	for n := 1; ctx.Err() == nil; n++ {
		if address == "" {
			address = w.d.Cells[n%len(w.d.Cells)].Public
		}
		body := fmt.Sprintf(heartbeat, w.address, w.dataZone, w.settings.MilliCPU, w.clock(), n, w.began.UnixMilli())
		response, err := client.Post("http://"+address+"/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader([]byte(body)))
		address = ""
		if err != nil {
			continue
		}
		var answer struct {
			Address string `json:"heartbeat_addr"`
		}
		if response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&answer) == nil && answer.Address != "" {
			address = answer.Address
			w.d.mu.Lock()
			w.d.leader = address
			w.d.mu.Unlock()
		}
		_ = response.Body.Close()
		time.Sleep(w.settings.ReportInterval)
	}
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	AckedUpto  uint64 `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

// order returns the handler of a call. f is called with w.mu held and returns the status
// and reason of the response, or status 0 if it has written the response.
func (w *worker) order(f func(http.ResponseWriter, *order) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		status, reason := http.StatusConflict, "fence"
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, reason = f(out, &o)
		}
		switch {
		case status == 0:
		case reason != "":
			w.write(out, status, fmt.Sprintf(`{"clock_ms":%d,"born":%d,"reason":"%s"}`, w.clock(), w.began.UnixMilli(), reason))
		default:
			w.write(out, status, fmt.Sprintf(`{"clock_ms":%d,"born":%d}`, w.clock(), w.began.UnixMilli()))
		}
	}
}

func (w *worker) write(out http.ResponseWriter, status int, body string) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write([]byte(body))
}

func (w *worker) extendLease(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxLeaseMS))
}

func (w *worker) runStart(_ http.ResponseWriter, o *order) (int, string) {
	switch {
	case w.running[o.Task] == o.Run && o.Run > 0:
		w.extendLease(o.DeadlineMS)
		return http.StatusOK, ""
	case w.clock() >= o.DeadlineMS:
		return http.StatusConflict, "late"
	}
	w.extendLease(o.DeadlineMS)
	if w.highest[o.Task] >= o.Run {
		return http.StatusConflict, "old"
	}
	ms, err := strconv.Atoi(o.Spec)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	w.highest[o.Task], w.running[o.Task] = o.Run, o.Run
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		how := "done"
		if w.clock() >= w.lease {
			how = "lapsed"
		}
		w.end(o.Task, o.Run, how)
	})
	job, _, _ := strings.Cut(o.Task, ".")
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	w.d.starts[job] = append(w.d.starts[job], Start{w.d.Now(), o.Task, w.id})
	return http.StatusOK, ""
}

// end ends a run unless it has ended. The caller holds w.mu.
func (w *worker) end(task string, run uint32, how string) {
	if w.running[task] != run {
		return
	}
	delete(w.running, task)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, run, how, ""})
	close(w.event)
	w.event = make(chan struct{})
}

func (w *worker) runStop(_ http.ResponseWriter, o *order) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if run := w.running[o.Task]; run > 0 && run <= o.Run {
		w.end(o.Task, run, "stopped")
	}
	return http.StatusOK, ""
}

func (w *worker) hold(out http.ResponseWriter, o *order) (int, string) {
	w.extendLease(o.DeadlineMS)
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= o.AckedUpto {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.WaitMS > 0 {
		event := w.event
		w.mu.Unlock()
		select {
		case <-event:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run, "", 50, 0})
	}
	runningText, _ := json.Marshal(running)
	endedText, _ := json.Marshal(append([][]any{}, w.ended[:min(len(w.ended), maxListedEnds)]...))
	w.write(out, http.StatusOK, fmt.Sprintf(`{"clock_ms":%d,"born":%d,"running":%s,"ended":%s}`, w.clock(), w.began.UnixMilli(), runningText, endedText))
	return 0, ""
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func specOf(s taskSpec) string {
	text, _ := json.Marshal(s)
	return string(text)
}

// startMinions starts the given number of minions and waits until they have reported.
func (r *rig) startMinions(n int) ([]*minion, error) {
	var list []*minion
	for i := range n {
		m := r.newMinion(i)
		if err := m.start(); err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	time.Sleep(3 * time.Second)
	return list, nil
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// playEnds kills the leader while a minion has more than 500 tasks that end before the next
// leader asks for them.
func playEnds(r *rig) error {
	const job, tasks = "5c0e7a21d94b36f8", 1200
	minions, err := r.startMinions(2)
	if err != nil {
		return err
	}
	spec := specOf(taskSpec{MinMS: 4000, MaxMS: 4800})
	steps := []any{map[string]any{"count": tasks, "cpu": 50, "mem_mb": 64, "estimate_ms": 4400}}
	if err := r.submit(job, map[string]any{"spec": spec, "steps": steps}); err != nil {
		return err
	}
	count := func() int {
		n := 0
		for _, m := range minions {
			n += m.tasks()
		}
		return n
	}
	if !await(3500*time.Millisecond, func() bool { return count() == tasks }) {
		return fmt.Errorf("only %d tasks of %d were started in time", count(), tasks)
	}
	for _, m := range minions {
		r.log("minion %s runs %d tasks", m.id, m.tasks())
	}
	if r.trouble {
		// The kill comes when the first tasks are about to end.
		await(5*time.Second, func() bool { return count() < tasks-tasks/100 })
		p := r.leaderProcess()
		if p == nil {
			return fmt.Errorf("no minion was told who leads")
		}
		r.signal(p, syscall.SIGKILL)
		<-p.done
		time.Sleep(restartDelay)
		if err := r.start(p); err != nil {
			return err
		}
	}
	if !await(40*time.Second, func() bool { _, state := r.state(job); return state == "complete" }) {
		return fmt.Errorf("the job was not shown as complete in time")
	}
	time.Sleep(2 * time.Second)
	r.checkTwice()
	return nil
}

// oneWayLink is the network between one minion and the system. While it is cut, nothing
// reaches the minion.
type oneWayLink struct {
	cut atomic.Bool
}

// proxy forwards connections from one address to another. toMinion tells which direction
// leads to the minion: that of the answers, or that of the requests.
func (l *oneWayLink) proxy(from, to string, answersToMinion bool) error {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c, to, answersToMinion)
		}
	}()
	return nil
}

func (l *oneWayLink) forward(c net.Conn, to string, answersToMinion bool) {
	if l.cut.Load() {
		_, _ = io.Copy(io.Discard, c) // the connection was never established
		return
	}
	d, err := net.Dial("tcp", to)
	if err != nil {
		_ = c.Close()
		return
	}
	go l.pipe(c, d, !answersToMinion)
	l.pipe(d, c, answersToMinion)
}

// pipe copies bytes. Once bytes towards the minion were lost, none of the connection follow.
func (l *oneWayLink) pipe(from, to net.Conn, towardsMinion bool) {
	buffer := make([]byte, 64<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		lost = lost || towardsMinion && l.cut.Load()
		if n > 0 && !lost {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !lost {
				_ = to.Close()
			}
			return
		}
	}
}

// playDeregister cuts a minion off in one direction when it deregisters: the system receives
// the message, the minion receives no answer.
func playDeregister(r *rig) error {
	const job = "5c0e7a21d94b36f8"
	const cutFor, patience = 5500 * time.Millisecond, 3 * time.Second
	link := &oneWayLink{}
	leaving := r.newMinion(0)
	leaving.listen = fmt.Sprintf("%s150:%d", r.network, r.ports[0])
	if err := link.proxy(leaving.address, leaving.listen, false); err != nil {
		return err
	}
	through := map[string]string{}
	for i, node := range r.controls() {
		through[node] = fmt.Sprintf("%s%d:%d", r.network, 160+i, r.ports[0])
		if err := link.proxy(through[node], node, true); err != nil {
			return err
		}
	}
	leaving.mapNode = func(node string) string { return through[node] }
	if err := leaving.start(); err != nil {
		return err
	}
	for i := 1; i < 6; i++ {
		if err := r.newMinion(i).start(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	steps := []any{map[string]any{"count": 60, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 20000}}
	if err := r.submit(job, map[string]any{"spec": specOf(taskSpec{MinMS: 15000, MaxMS: 20000}), "steps": steps}); err != nil {
		return err
	}
	if !await(5*time.Second, func() bool { return leaving.tasks() > 0 }) {
		return fmt.Errorf("the minion that leaves has got no task")
	}
	time.Sleep(time.Second)
	leaving.leave(patience, func() {
		r.log("%d tasks run on the minion that leaves", leaving.tasks())
		if r.trouble {
			link.cut.Store(true)
			r.log("the minion is cut off: nothing reaches it")
			time.AfterFunc(cutFor, func() { link.cut.Store(false) })
		}
	})
	if !await(60*time.Second, func() bool { _, state := r.state(job); return state == "complete" }) {
		return fmt.Errorf("the job was not shown as complete in time")
	}
	time.Sleep(time.Second)
	r.checkTwice()
	return nil
}

// playCrashes lets one minion of eight crash at a time, in turn, while a job of tasks that
// last runs on them.
func playCrashes(r *rig) error {
	const job, down, gap = "5c0e7a21d94b36f8", 1500 * time.Millisecond, 3 * time.Second
	minions, err := r.startMinions(8)
	if err != nil {
		return err
	}
	steps := []any{map[string]any{"count": 24, "cpu": 4000, "mem_mb": 4096, "estimate_ms": 1000, "daemon": true, "image": "img-1"}}
	if err := r.submit(job, map[string]any{"spec": specOf(taskSpec{Daemon: true}), "steps": steps}); err != nil {
		return err
	}
	count := func() int {
		n := 0
		for _, m := range minions {
			n += m.tasks()
		}
		return n
	}
	if !await(10*time.Second, func() bool { return count() == 24 }) {
		return fmt.Errorf("only %d tasks of 24 run", count())
	}
	state := ""
	for i := range 28 {
		if _, state = r.state(job); state != "running" && state != "" {
			break
		}
		m := minions[i%len(minions)]
		if r.trouble {
			m.stop("crash")
			time.Sleep(down)
			if err := m.start(); err != nil {
				return err
			}
			time.Sleep(gap - down)
			continue
		}
		time.Sleep(gap)
	}
	time.Sleep(8 * time.Second)
	status, state := r.state(job)
	r.log("client: GET answered %d, state %q; %d tasks run, %d runs have ended failed", status, state, count(), r.runsOf(job, "failed"))
	fmt.Printf("state %q; %d tasks run; %d runs ended by crashes, %d failed\n", state, count(), r.runsOf(job, "crash"), r.runsOf(job, "failed"))
	if state != "running" {
		r.broken("LOST", "the job is shown as %q though nobody cancelled it and %d runs of its tasks have ended failed; %d of its 24 tasks run", state, r.runsOf(job, "failed"), count())
	}
	return nil
}

// playLate freezes a gateway while clients hand jobs in through it. The clients leave and
// cancel their jobs through another gateway; the frozen one then wakes.
func playLate(r *rig) error {
	const jobs, leaveAfter, frozenFor, cancelTime = 20, 125 * time.Millisecond, 3500 * time.Millisecond, 3 * time.Second
	if _, err := r.startMinions(2); err != nil {
		return err
	}
	other, err := r.add("edge-2", "zone-b", r.network+"12", "target/lg-gateway", "deploy/gateway.ini")
	if err != nil {
		return err
	}
	r.others = append(r.others, other)
	if err := r.start(other); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	body, err := json.Marshal(map[string]any{"spec": specOf(taskSpec{MinMS: 100, MaxMS: 800}), "steps": []any{map[string]any{"count": 2, "cpu": 500, "mem_mb": 64}}})
	if err != nil {
		return err
	}
	id := func(i int) string { return fmt.Sprintf("5c0e7a21d94b%04x", i) }
	frozen := time.Now()
	if r.trouble {
		r.signal(r.gateway, syscall.SIGSTOP)
	}
	var connections []net.Conn
	for i := range jobs {
		c, err := net.Dial("tcp", r.front(r.gateway))
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", prefix, id(i), host, key, len(body), body); err != nil {
			return err
		}
		r.log("client %d: POST %s sent", i, id(i))
		connections = append(connections, c)
	}
	time.Sleep(leaveAfter)
	cancelled := map[string]time.Time{}
	for i, c := range connections {
		_ = c.Close()
		status, _, err := request(http.MethodDelete, r.front(other), prefix+id(i), host, nil)
		if err != nil || status != http.StatusOK && status != http.StatusGone {
			return fmt.Errorf("DELETE of %s answered %d %v", id(i), status, err)
		}
		cancelled[id(i)] = time.Now()
		r.log("client %d: has left; DELETE %s answered %d", i, id(i), status)
	}
	if r.trouble {
		time.Sleep(frozenFor - time.Since(frozen))
		r.signal(r.gateway, syscall.SIGCONT)
	}
	time.Sleep(6 * time.Second)
	late := map[string]bool{}
	r.mu.Lock()
	runs := slices.Clone(r.runs)
	r.mu.Unlock()
	for _, i := range runs {
		job, _, _ := strings.Cut(i.task, ".")
		if after := i.start.Sub(cancelled[job]); after > cancelTime {
			late[job] = true
			r.broken("UNASKED", "%s run %d starts on %s, %d ms after the cancelling of its job was acknowledged", i.task, i.run, i.minion, after.Milliseconds())
		}
	}
	r.log("check: %d of %d cancelled jobs were started later than cancel_ms after that", len(late), jobs)
	fmt.Printf("%d of %d cancelled jobs were started later than cancel_ms after that\n", len(late), jobs)
	return nil
}

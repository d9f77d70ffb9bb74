package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the one queue, service and tenant of the rig.
const (
	host    = "queue.example"
	prefix  = "/jobs/"
	service = "workers"
	key     = "6x73d3zji9n73hh2b9wu"
)

// rig is a small deployment on loopback: control processes in three zones, a gateway, and
// stand-ins for minions, the operator and a client.
type rig struct {
	folder  string // temporary
	network string // the first three bytes of all addresses
	ports   [5]int // control, peer, front, ready, admin
	cells   []*process
	gateway *process
	others  []*process // further gateways
	trouble bool

	mu       sync.Mutex
	record   *bufio.Writer
	began    time.Time
	rng      *rand.Rand
	runs     []*interval
	leader   string // control address that a minion was last told to report to
	problems []string

	closeOnce sync.Once
}

// process is one of the project's own programs.
type process struct {
	name    string
	ip      string
	program string
	file    string
	cmd     *exec.Cmd
	done    chan struct{}
}

func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) random(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n + 1)
}

func (r *rig) addRun(i *interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, i)
}

func (r *rig) setLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != "" {
		r.leader = address
	}
}

// leaderProcess returns the control process that minions were last told to report to.
func (r *rig) leaderProcess() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cells {
		if strings.HasPrefix(r.leader, c.ip+":") {
			return c
		}
	}
	return nil
}

// newRig opens the record and finds free loopback addresses.
func newRig(caseFolder string, seed uint64) (*rig, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &rig{folder: folder, record: bufio.NewWriter(f), began: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), trouble: os.Getenv("TROUBLE") != "0"}
	free := rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano())))
	for range 50 {
		r.network = fmt.Sprintf("127.%d.%d.", 20+free.IntN(200), free.IntN(250))
		base := 20000 + free.IntN(8000)
		for i := range r.ports {
			r.ports[i] = base + i
		}
		if r.portsFree() {
			return r, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (r *rig) portsFree() bool {
	for _, last := range []int{1, 2, 3, 11, 12} {
		for _, p := range r.ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", r.network, last, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (r *rig) control(c *process) string { return fmt.Sprintf("%s:%d", c.ip, r.ports[0]) }

// front is the address of a gateway for clients.
func (r *rig) front(p *process) string { return net.JoinHostPort(p.ip, fmt.Sprint(r.ports[2])) }

func (r *rig) controls() []string {
	var list []string
	for _, c := range r.cells {
		list = append(list, r.control(c))
	}
	return list
}

var (
	section  = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	variable = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a settings template of the deploy folder as the platform does.
func render(template string, values map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		p := section.FindStringSubmatch(s)
		present := values[p[2]] != ""
		if present == (p[1] == "#") {
			return p[3]
		}
		return ""
	})
	return variable.ReplaceAllStringFunc(text, func(s string) string { return values[variable.FindStringSubmatch(s)[1]] })
}

// add prepares a process with settings from a template of the deploy folder.
func (r *rig) add(name, zone, ip, program, template string) (*process, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, ip: ip, program: program, file: filepath.Join(r.folder, name+".ini")}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, r.ports[i]) }
	seeds := fmt.Sprintf("%s1:%d,%s2:%d,%s3:%d", r.network, r.ports[0], r.network, r.ports[0], r.network, r.ports[0])
	values := map[string]string{
		"node": name, "zone": zone, "ip": ip, "seeds": seeds, "bootstrap": "yes", "bounds.max_hold_ms": "6000", "bounds.status_s": "120",
		"bounds.remote_factor": "3", "bounds.lease_ms": "3000", "bounds.notice_ms": "4500", "bounds.grace_s": "6",
		"fault_tolerance.machines": "1", "fault_tolerance.zones": "1", "listen.control": at(0), "listen.front": at(2), "listen.ready": at(3),
		"port_range.0": fmt.Sprint(r.ports[1]), "data_dir": filepath.Join(r.folder, name), "limits.max_fds": "4096", "limits.memory_mb": "280",
	}
	settings := strings.ReplaceAll(render(string(text), values), ":9464", fmt.Sprintf(":%d", r.ports[4]))
	if err := os.WriteFile(p.file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return p, nil
}

// start starts a process with the command of the deploy file.
func (r *rig) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(r.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.program, "--settings", p.file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	r.log("process %s started", p.name)
	return nil
}

func (r *rig) signal(p *process, s syscall.Signal) {
	r.log("process %s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// startAll starts three control processes, in one zone each, and a gateway.
func (r *rig) startAll() error {
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		c, err := r.add(fmt.Sprintf("core-%d", i+1), zone, fmt.Sprintf("%s%d", r.network, i+1), "target/lg-cell", "deploy/cell.ini")
		if err != nil {
			return err
		}
		r.cells = append(r.cells, c)
	}
	g, err := r.add("edge-1", "zone-a", r.network+"11", "target/lg-gateway", "deploy/gateway.ini")
	if err != nil {
		return err
	}
	r.gateway = g
	for _, p := range append([]*process{g}, r.cells...) {
		if err := r.start(p); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that the rig has started.
func (r *rig) close() { r.closeOnce.Do(r.endAll) }

func (r *rig) endAll() {
	for _, p := range slices.Concat([]*process{r.gateway}, r.others, r.cells) {
		if p == nil || p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	r.mu.Lock()
	_ = r.record.Flush()
	r.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("kept", r.folder)
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func request(method, address, path, hostName string, body any) (int, []byte, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		content = bytes.NewReader(data)
	}
	q, err := http.NewRequest(method, "http://"+address+path, content)
	if err != nil {
		return 0, nil, err
	}
	if hostName != "" {
		q.Host = hostName
		q.Header.Set("Authorization", "Token "+key)
		q.Header.Set("Deadline-Ms", "3000")
	}
	q.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// configure sends the first configuration until it is accepted.
func (r *rig) configure() error {
	body := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-jobs", "host": host, "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 3000, "priority": 0,
			"service": service, "attempts": 3, "stretch": 4.0, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "kaje80", "api_keys": []string{key}, "priority": 1, "weight": 27, "upper_bound": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0},
		}},
	}
	for i := 0; i < 100; i++ {
		status, _, err := request(http.MethodPost, r.control(r.cells[i%len(r.cells)]), "/config/put", "", body)
		if err == nil && status == http.StatusOK {
			r.log("operator: configuration acknowledged")
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not accepted")
}

// newMinion adds a minion with 64 cores and 128 GB.
func (r *rig) newMinion(i int) *minion {
	address := fmt.Sprintf("%s%d:%d", r.network, 100+i, r.ports[0])
	return &minion{
		r: r, id: fmt.Sprintf("i-%08x", 0xa0000000+i), service: service, zone: []string{"zone-a", "zone-b", "zone-c"}[i%3], labels: []string{"a", fmt.Sprintf("r%d-1", i%3)},
		address: address, listen: address, cpu: 64000, memMB: 131072, nodes: r.controls(),
	}
}

// submit hands a job in until it is accepted.
func (r *rig) submit(id string, job any) error {
	for range 50 {
		status, _, err := request(http.MethodPost, r.front(r.gateway), prefix+id, host, job)
		r.log("client: POST %s answered %d %v", id, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job as shown to its client, empty without an answer.
func (r *rig) state(id string) (int, string) {
	status, text, err := request(http.MethodGet, r.front(r.gateway), prefix+id, host, nil)
	if err != nil {
		return 0, ""
	}
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &body)
	return status, body.State
}

// await polls until the condition holds.
func await(timeout time.Duration, condition func() bool) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// broken records that a rule is broken.
func (r *rig) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.log("BROKEN %s", text)
	r.mu.Lock()
	r.problems = append(r.problems, text)
	r.mu.Unlock()
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes the lines of record.txt, each with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// process is one program of the project.
type process struct {
	name    string
	program string
	args    []string
	logPath string
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), p.cmd
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// memoryMB returns the private memory of the process in MiB, 0 if it has ended.
func (p *process) memoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// system is a small deployment: three control processes and two gateways.
type system struct {
	rec      *record
	folder   string
	cells    []*process
	gateways []*process
	control  []string
	fronts   []string
	client   *http.Client
}

// ports are those of the processes; as on the platform, they are the same on all machines.
type ports struct{ admin, public, ready, peer int }

// freePorts returns ports that are free on all loopback addresses.
func freePorts() (p ports, err error) {
	for _, port := range []*int{&p.admin, &p.public, &p.ready, &p.peer} {
		l, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return p, err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// machineAddress returns the loopback address of a machine. Each run has a network of its own.
func machineAddress(i int) string { return fmt.Sprintf("127.77.%d.%d", 1+os.Getpid()%250, 10+i) }

const (
	cellMemoryMB    = 280
	gatewayMemoryMB = 284
)

// startSystem renders the settings as deploy/cell.ini and deploy/gateway.ini do, with the
// bounds of the site sajha-grid, and starts the programs. platform is the address of the
// machine service and hint that of the advice service, empty for none.
func startSystem(rec *record, cells, gateways int, platform, hint string) (*system, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, folder: folder, client: &http.Client{Timeout: 5 * time.Second}}
	zones := []string{"balaju", "patan", "bhaktapur", "kalanki"}
	p, err := freePorts()
	if err != nil {
		return nil, err
	}
	var seedList []string
	for i := range min(3, cells) {
		seedList = append(seedList, fmt.Sprintf("%s:%d", machineAddress(i), p.public))
	}
	seeds := strings.Join(seedList, ",")
	optional := func(key, value string) string {
		if value == "" {
			return ""
		}
		return key + " = " + value + "\n"
	}
	for i := range cells {
		ip := machineAddress(i)
		name := "core-" + zones[i%4]
		settings := fmt.Sprintf("[process]\nname = %s\nvm = %s\ndata_centre = %s\nadmin = %s:%d\n\n[cell]\nseeds = %s\nbootstrap = yes\n"+
			"max_lease = 6000ms\nkeep_ended = 120s\nremote_factor = 3\nholder_lease = 3000ms\nnotice = 4500ms\ntolerated_vms = 1\ntolerated_data_centres = 1\n%s%s\n"+
			"[listen]\npublic = %s:%d\npeer = %s:%d\n\n[disk]\nfolder = %s\n\n[limits]\ndescriptors = 4096\nmemory = %dMiB\n",
			name, name, zones[i%4], ip, p.admin, seeds, optional("machines", platform), optional("advice", hint), ip, p.public, ip, p.peer, filepath.Join(folder, name), cellMemoryMB)
		s.control = append(s.control, fmt.Sprintf("%s:%d", ip, p.public))
		if err := s.add(&s.cells, name, "target/lg-cell", settings); err != nil {
			return s, err
		}
	}
	for i := range gateways {
		ip := machineAddress(cells + i)
		name := "edge-" + zones[i%4]
		settings := fmt.Sprintf("[process]\nname = %s\nvm = %s\ndata_centre = %s\nadmin = %s:%d\n\n[cell]\nseeds = %s\n%s\n"+
			"[listen]\npublic = %s:%d\nready = %s:%d\npeer = %s:%d\n\n[limits]\ndrain = 6s\ndescriptors = 4100\nmemory = %dMiB\n",
			name, name, zones[i%4], ip, p.admin, seeds, optional("advice", hint), ip, p.public, ip, p.ready, ip, p.peer, gatewayMemoryMB)
		s.fronts = append(s.fronts, fmt.Sprintf("%s:%d", ip, p.public))
		if err := s.add(&s.gateways, name, "target/lg-gateway", settings); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) add(list *[]*process, name, program, settings string) error {
	path := filepath.Join(s.folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p := &process{name: name, program: program, args: []string{"--settings", path}, logPath: filepath.Join(s.folder, name+".log")}
	*list = append(*list, p)
	return p.start()
}

// stop ends all processes and removes their folder.
func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.cells...), s.gateways...) {
		if p.cmd != nil && p.cmd.Process != nil {
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

// call sends one request and returns the status, 0 without an answer, and the body.
func (s *system) call(method, address, host, path, key string, body any) (int, string) {
	var content io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		content = bytes.NewReader(b)
	default:
		data, _ := json.Marshal(b)
		content = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, "http://"+address+path, content)
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		r.Host = host
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	w, err := s.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, err.Error()
	}
	return w.StatusCode, string(text)
}

// configure sends a configuration until it is acknowledged.
func (s *system) configure(configuration any) error {
	until := time.Now().Add(15 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		status, text := s.call("POST", s.control[i%len(s.control)], "", "/config/put", "", configuration)
		if status == 200 {
			return nil
		}
		if status == 400 {
			return fmt.Errorf("configuration refused: %s", text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged")
}

// submit sends a job as a client does: the same again after no answer, 502, 503 or 504. It
// returns the last status.
func (s *system) submit(front int, host, path, key string, job any, retryRefused bool) int {
	status := 0
	for i := range 12 {
		status, _ = s.call("POST", s.fronts[(front+i)%len(s.fronts)], host, path, key, job)
		if status != 0 && status != 502 && status != 504 && !(retryRefused && status == 503) {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// state returns the state of a job as a client reads it, empty if there is no answer 200.
func (s *system) state(host, path, key string) (status int, state string) {
	for i := range 8 {
		code, text := s.call("GET", s.fronts[i%len(s.fronts)], host, path, key, nil)
		if code == 0 || code >= 500 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		var v struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(text), &v)
		return code, v.State
	}
	return 0, ""
}

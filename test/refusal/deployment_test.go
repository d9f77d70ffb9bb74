package refusal

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	// What the programs consist of: go test does not know the programs that the test builds,
	// and would show an earlier result after a change of them.
	_ "laburnumgrade/internal/cellnode"
	_ "laburnumgrade/internal/gateway"
	_ "laburnumgrade/internal/process"
	_ "laburnumgrade/platform"
)

// Names in the configurations. Requests name firstHost and carry firstKey.
const (
	firstHost = "nony24.example"
	otherHost = "ficu95.example"
	firstKey  = "6x73d3zji9n73hh2b9wu"
	otherKey  = "3fexd9dnn2ctnfzs989a"
	prefix    = "/lohu930/"
)

// configuration takes the version, the host of the queue and the key of the team.
const configuration = `{"version":%d,` +
	`"routes":[{"name":"r-ihhacru","host":"%s","path_prefix":"/lohu930/","type":"non_idempotent","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"huvo11a","attempts":3,"stretch":4.0,"public":false}],` +
	`"services":[{"name":"huvo11a","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
	`"tenants":[{"name":"kaje80","api_keys":["%s"],"priority":1,"weight":27,"upper_bound":{"cpu":0,"mem_mb":0,"gpu":0}}]}`

const cellSettings = `[process]
name = %[1]s
vm = %[1]s
data_centre = %[2]s
admin = %[3]s:%[8]d
[cell]
seeds = %[4]s
bootstrap = yes
max_lease = 6000ms
keep_ended = 120s
remote_factor = 3
holder_lease = 3000ms
notice = 4500ms
tolerated_vms = 1
tolerated_data_centres = 1
[listen]
public = %[3]s:%[5]d
peer = %[3]s:%[6]d
[disk]
folder = %[7]s
[limits]
descriptors = 4096
memory = 280MiB
`

const gatewaySettings = `[process]
name = %[1]s
vm = %[1]s
data_centre = %[2]s
admin = %[3]s:%[8]d
[cell]
seeds = %[4]s
[listen]
public = %[3]s:%[5]d
ready = %[3]s:%[7]d
peer = %[3]s:%[6]d
[limits]
drain = 6s
descriptors = 4096
memory = 280MiB
`

// process is a program of the cell.
type process struct {
	name, program, settings, log string
	// public is the address for the operator and workers, or for clients.
	public string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The processes, which may be stopped, end with a test that times out.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
	return nil
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // the process may have ended
	return p.done
}

// lines returns the lines of the process's log that contain the text.
func (p *process) lines(text string) []string {
	data, _ := os.ReadFile(p.log)
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, p.name+": "+line)
		}
	}
	return found
}

// deployment is a cell of three control processes, two gateways and three workers.
type deployment struct {
	began    time.Time
	cells    []*process
	gateways []*process
	kept     *http.Client // keeps its connections open
	once     *http.Client // opens a connection for each request
	version  int64        // of the configuration sent last

	mu     sync.Mutex
	leader string // public address that a worker was told last
	starts map[string][]start
}

// start is the start of a task on a worker.
type start struct {
	at           time.Duration // since the deployment began
	task, worker string
}

func (d *deployment) now() time.Duration { return time.Since(d.began) }

func (d *deployment) all() []*process { return slices.Concat(d.cells, d.gateways) }

// freeNetwork returns the first three bytes of loopback addresses and the first of five
// ports that are free on them.
func freeNetwork(t *testing.T) (network string, base int) {
	for range 50 {
		network, base = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)), 20000+rand.IntN(8000)
		if portsFree(network, base) {
			return network, base
		}
	}
	t.Fatal("no free loopback addresses")
	return "", 0
}

func portsFree(network string, base int) bool {
	for _, last := range []int{1, 2, 3, 11, 12, 101, 102, 103} {
		for i := range 5 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, last, base+i))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// build builds the programs and returns their folder.
func build(t *testing.T) string {
	folder := t.TempDir()
	cmd := exec.Command("go", "build", "-o", folder, "./cmd/lg-cell", "./cmd/lg-gateway")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return folder
}

// deploy starts the processes and workers and sends the first configuration.
func deploy(t *testing.T, programs string) *deployment {
	network, base := freeNetwork(t)
	d := &deployment{
		began: time.Now(), starts: map[string][]start{},
		kept: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		once: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(d.kept.CloseIdleConnections)
	folder := t.TempDir()
	seeds := fmt.Sprintf("%[1]s1:%[2]d,%[1]s2:%[2]d,%[1]s3:%[2]d", network, base)
	add := func(program, settings string, i, last, disk int) *process {
		name := fmt.Sprintf("%s-%d", program, i)
		p := &process{
			name: name, program: filepath.Join(programs, program), settings: filepath.Join(folder, name+".ini"), log: filepath.Join(folder, name+".log"),
			public: fmt.Sprintf("%s%d:%d", network, last, base),
		}
		var place any = filepath.Join(folder, name)
		if disk == 0 {
			place = base + 2
		}
		text := fmt.Sprintf(settings, name, "zone-"+string(rune('a'+i-1)), fmt.Sprintf("%s%d", network, last), seeds, base, base+1, place, base+3)
		assert.NilError(t, os.WriteFile(p.settings, []byte(text), 0o600))
		return p
	}
	for i := 1; i <= 3; i++ {
		d.cells = append(d.cells, add("lg-cell", cellSettings, i, i, 1))
	}
	for i := 1; i <= 2; i++ {
		d.gateways = append(d.gateways, add("lg-gateway", gatewaySettings, i, 10+i, 0))
	}
	for _, p := range d.all() {
		assert.NilError(t, p.start())
		t.Cleanup(func() { <-p.signal(syscall.SIGKILL) })
	}
	for i := 1; i <= 3; i++ {
		startWorker(t, d, i, fmt.Sprintf("%s%d:%d", network, 100+i, base))
	}
	d.configure(t, firstHost, firstKey)
	return d
}

// configure sends a new configuration until it is acknowledged.
func (d *deployment) configure(t *testing.T, host, key string) {
	d.version++
	d.sendConfiguration(t, d.version, host, key)
}

func (d *deployment) sendConfiguration(t *testing.T, version int64, host, key string) {
	body := fmt.Sprintf(configuration, version, host, key)
	acknowledged := await(30*time.Second, func() bool {
		for _, c := range d.cells {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			status, err := send(ctx, d.once, http.MethodPost, c.public, "/config/put", "", body)
			cancel()
			if err == nil && status == http.StatusOK {
				return true
			}
		}
		return false
	})
	if !acknowledged {
		t.Errorf("configuration %d was not acknowledged", version)
	}
}

// leading returns the process that workers were last told to report to, nil if there is
// none.
func (d *deployment) leading() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.cells {
		if c.public == d.leader {
			return c
		}
	}
	return nil
}

func (d *deployment) startsOf(job string) []start {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.starts[job])
}

// send sends a request. With a host it is a client's and carries firstKey.
func send(ctx context.Context, c *http.Client, method, address, path, host, body string) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	if host != "" {
		r.Host = host
		r.Header.Set("Authorization", "Token "+firstKey)
		r.Header.Set("Deadline-Ms", "3000")
	}
	response, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// await polls until the condition holds.
func await(timeout time.Duration, condition func() bool) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

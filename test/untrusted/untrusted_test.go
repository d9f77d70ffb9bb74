package untrusted

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumgrade/test/deployment"
)

// table is not used in CI: it takes minutes, and checks nothing.
var table = flag.String("untrusted.table", "", "print the memory and descriptors of a gateway for these numbers of connections, comma separated")

const (
	clients = 300
	// crowdBeyondDescriptors exceeds limits.Gateway.Descriptors.
	crowdBeyondDescriptors = 1500
	maxTimeToAccept        = 30 * time.Second
	sampleInterval         = 20 * time.Millisecond
)

// limits are low, so that a small crowd exceeds the memory of a process that bounds nothing.
// Of the descriptors, a gateway has 633 for accepted connections and a control process 430
// (cmd/lg-gateway, cmd/lg-cell): more than the clients and the connections of the cell.
var limits = deployment.Settings{Cell: deployment.Limits{MemoryMiB: 64, Descriptors: 1536}, Gateway: deployment.Limits{MemoryMiB: 64, Descriptors: 1024}}

// programs is the folder of the programs.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "untrusted"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programs)
	if err := errors.Join(deployment.Build(programs), buildCluster(programs)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// usage is the peak of what a process uses.
type usage struct {
	memory      int64 // bytes
	descriptors int
}

// program is a process whose usage is checked.
type program interface {
	PeakMemory() (int64, error)
	OpenDescriptors() (int, error)
	Running() bool
}

// watch samples the usage of a process until stop is called, which returns the peak.
func watch(p program) (stop func() usage) {
	var peak usage
	var group sync.WaitGroup
	stopped := make(chan struct{})
	sample := func() {
		// A process that has ended keeps the values of the last sample.
		if memory, err := p.PeakMemory(); err == nil {
			peak.memory = max(peak.memory, memory)
		}
		if descriptors, err := p.OpenDescriptors(); err == nil {
			peak.descriptors = max(peak.descriptors, descriptors)
		}
	}
	group.Go(func() {
		for {
			sample()
			select {
			case <-stopped:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return func() usage {
		close(stopped)
		group.Wait()
		sample()
		return peak
	}
}

// accepted hands in a job until it is accepted, each time over a new connection, and reports
// the last answer if it is not.
func accepted(t *testing.T, d *deployment.Deployment, gateway *deployment.Process) (ok bool, last string) {
	path := deployment.Prefix + fmt.Sprintf("%016x", rand.Uint64())
	ok = deployment.Await(maxTimeToAccept, func() bool {
		status, err := deployment.Send(t.Context(), d.Once, http.MethodPost, gateway.Public, path, deployment.FirstHost, smallJob)
		last = fmt.Sprintf("status %d, error %v", status, err)
		return err == nil && status == http.StatusOK
	})
	return ok, last
}

// attack sends a crowd to a process and checks all processes and that a job handed in at the
// gateway is accepted while the crowd's connections are open and after they were closed.
func attack(t *testing.T, d *deployment.Deployment, attacked, gateway *deployment.Process, l load, clients int) {
	ok, last := accepted(t, d, gateway)
	assert.Assert(t, ok, "no job is accepted before the crowd arrives: %s", last)
	before, err := attacked.PeakMemory()
	assert.NilError(t, err)
	stops := map[*deployment.Process]func() usage{}
	for _, p := range d.All() {
		stops[p] = watch(p)
	}
	c := gather(attacked.Public, l, clients)
	c.settle()
	if ok, last := accepted(t, d, gateway); !ok {
		t.Errorf("no job is accepted while the crowd's connections are open: %s", last)
	}
	c.disperse()
	if ok, last := accepted(t, d, gateway); !ok {
		t.Errorf("no job is accepted after the crowd has left: %s", last)
	}
	t.Logf("%s from %d clients to %s, whose peak memory was %d KiB before: %s", l.name, clients, attacked.Name, before>>10, c)
	for _, p := range d.All() {
		checkUsage(t, p.Name, p, stops[p](), p.Limits)
	}
}

// checkUsage checks that a process is running and that its peak usage is within its limits.
func checkUsage(t *testing.T, name string, p program, peak usage, limits deployment.Limits) {
	t.Logf("%s: peak memory %d KiB of %d, descriptors %d of %d", name, peak.memory>>10, limits.MemoryMiB<<10, peak.descriptors, limits.Descriptors)
	assert.Check(t, p.Running(), "%s has ended", name)
	assert.Check(t, peak.memory > 0 && peak.memory <= int64(limits.MemoryMiB)<<20, "%s: peak memory %d KiB", name, peak.memory>>10)
	assert.Check(t, peak.descriptors > 0 && peak.descriptors <= limits.Descriptors, "%s: %d open descriptors", name, peak.descriptors)
}

// attackGateway sends a crowd to a gateway.
func attackGateway(t *testing.T, l load, clients int) {
	d := deployment.Deploy(t, programs, limits)
	attack(t, d, d.Gateways[0], d.Gateways[0], l, clients)
}

// Guards against heads over the platform's limit that exhaust the memory.
func TestLargeHeadsStayWithinMemory(t *testing.T) { attackGateway(t, largeHeads, clients) }

// Guards against heads that never end and exhaust the memory.
func TestEndlessHeadsStayWithinMemory(t *testing.T) { attackGateway(t, endlessHeads, clients) }

// Guards against empty lines before a request that exhaust the memory.
func TestEndlessEmptyLinesStayWithinMemory(t *testing.T) { attackGateway(t, emptyLines, clients) }

// Guards against complete bodies that arrive at once and, read or decoded, exhaust the memory.
func TestWholeBodiesStayWithinMemory(t *testing.T) { attackGateway(t, wholeBodies, clients) }

// Guards against bodies that never end and exhaust the memory.
func TestShortBodiesStayWithinMemory(t *testing.T) { attackGateway(t, shortBodies, clients) }

// Guards against bodies that arrive slowly, never end and exhaust the memory.
func TestShortBodiesInPiecesStayWithinMemory(t *testing.T) {
	attackGateway(t, shortBodiesInPieces, clients)
}

// Guards against unfinished large chunks that exhaust the memory.
func TestLargeChunksStayWithinMemory(t *testing.T) { attackGateway(t, largeChunks, clients) }

// Guards against very small chunks, whose overhead is counted too, that exhaust the memory.
func TestSmallChunksStayWithinMemory(t *testing.T) { attackGateway(t, smallChunks, clients) }

// Guards against responses that no client reads and that exhaust the memory.
func TestUnreadResponsesStayWithinMemory(t *testing.T) { attackGateway(t, unreadResponses, clients) }

// Guards against stalled requests that take all descriptors, so that no client is served.
func TestStalledRequestsLeaveDescriptors(t *testing.T) {
	attackGateway(t, stalledRequests, crowdBeyondDescriptors)
}

// Guards against bodies of operators and workers that never end and exhaust the memory of the
// control process that leads.
func TestShortControlBodiesStayWithinMemory(t *testing.T) {
	d := deployment.Deploy(t, programs, limits)
	ok, last := accepted(t, d, d.Gateways[0])
	assert.Assert(t, ok, "no job is accepted: %s", last)
	var leader *deployment.Process
	assert.Assert(t, deployment.Await(maxTimeToAccept, func() bool {
		leader = d.Leading()
		return leader != nil
	}), "no worker was told who leads")
	attack(t, d, leader, d.Gateways[0], controlBodies, clients)
}

// Prints the table of -untrusted.table, with the memory and descriptors of the smallest
// gateway.
func TestPrintTable(t *testing.T) {
	if *table == "" {
		t.Skip("no -untrusted.table")
	}
	smallest := deployment.Settings{Cell: deployment.Defaults.Cell, Gateway: deployment.Limits{MemoryMiB: 144, Descriptors: 3075}}
	fmt.Println("load | connections | peak memory, MB | peak descriptors | job accepted beside the load | running")
	for _, l := range gatewayLoads {
		for _, text := range strings.Split(*table, ",") {
			n, err := strconv.Atoi(text)
			assert.NilError(t, err)
			t.Run(l.name+" "+text, func(t *testing.T) { fmt.Println(row(t, smallest, l, n)) })
		}
	}
}

// row measures one row of the table.
func row(t *testing.T, settings deployment.Settings, l load, clients int) string {
	d := deployment.Deploy(t, programs, settings)
	g := d.Gateways[0]
	ok, last := accepted(t, d, g)
	assert.Assert(t, ok, "no job is accepted before the crowd arrives: %s", last)
	stop := watch(g)
	c := gather(g.Public, l, clients)
	c.settle()
	during, _ := accepted(t, d, g)
	c.disperse()
	peak := stop()
	t.Logf("%s from %d clients: %s", l.name, clients, c)
	return fmt.Sprintf("%s | %d | %.1f | %d | %t | %t", l.name, clients, float64(peak.memory)/1e6, peak.descriptors, during, g.Running())
}

package untrusted

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/test/cluster"
	"laburnumgrade/test/deployment"

	// What the programs consist of, see package deployment.
	_ "laburnumgrade/internal/control"
	_ "laburnumgrade/internal/entry"
	_ "laburnumgrade/internal/host"
)

// Limits of lg-entry and lg-control.
var (
	clusterLimits = deployment.Limits{MemoryMiB: 64, Descriptors: 1024}
	// fewDescriptors are less than the connections of a crowd.
	fewDescriptors = deployment.Limits{MemoryMiB: 64, Descriptors: 300}
)

// openQueue is a document of a service whose jobs need no key.
const openQueue = `[service]
team = ordinary
name = work
command = work
class = batch
open_queue = yes
[size]
cpu = 1
memory = 1GB
[tasks]
count = 1
[limits]
share = 1
cpu = 64
memory = 128GB
queue = 100000
`

// buildCluster builds lg-entry and lg-control.
func buildCluster(folder string) error {
	cmd := exec.Command("go", "build", "-o", folder, "./cmd/lg-entry", "./cmd/lg-control")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build programs: %s", out)
}

// startCluster starts one lg-control and one lg-entry with the limits. They end with the test.
func startCluster(t *testing.T, limits deployment.Limits) *cluster.Cluster {
	settings := fmt.Sprintf("memory = %dMiB\ndescriptors = %d\n", limits.MemoryMiB, limits.Descriptors)
	c, err := cluster.New(cluster.Spec{
		Bin: programs, Folder: t.TempDir(), DataCentres: []string{"Patan"}, VMsPerDataCentre: 1, DisksPerDataCentre: 1,
		Voters: 1, FleetVoters: 1, ControlLimits: settings, EntryLimits: settings,
	})
	assert.NilError(t, err)
	t.Cleanup(c.Stop)
	c.Client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.NilError(t, c.Start(c.Controls[0]))
	assert.NilError(t, c.Start(c.Entries[0]))
	_, err = c.PutDocument(t.Context(), c.Entries[0], openQueue)
	assert.NilError(t, err)
	return c
}

// submitted submits jobs, each over a new connection, until one is accepted, and reports the last
// error if none is.
func submitted(t *testing.T, c *cluster.Cluster) (ok bool, last error) {
	ok = deployment.Await(maxTimeToAccept, func() bool {
		_, last = c.Caller(c.Entries[0], "").SubmitJob(t.Context(), connect.NewRequest(&apiv1.SubmitJobRequest{JobId: cluster.NewID(), Team: "ordinary", Service: "work"}))
		return last == nil
	})
	return ok, last
}

// attackCluster sends a crowd to an address and checks both processes, and that a job is accepted
// after the crowd has left. That of a job while the connections are open is shown.
func attackCluster(t *testing.T, l load, limits deployment.Limits, address func(*cluster.Cluster) string) {
	c := startCluster(t, limits)
	ok, last := submitted(t, c)
	assert.Assert(t, ok, "no job is accepted before the crowd arrives: %v", last)
	watched := []*cluster.Process{c.Entries[0], c.Controls[0]}
	stops := map[*cluster.Process]func() usage{}
	for _, p := range watched {
		stops[p] = watch(p)
	}
	crowd := gather(address(c), l, clients)
	crowd.settle()
	during, _ := submitted(t, c)
	crowd.disperse()
	if ok, last := submitted(t, c); !ok {
		t.Errorf("no job is accepted after the crowd has left: %v", last)
	}
	t.Logf("%s from %d clients: %s; a job was accepted beside them: %t", l.name, clients, crowd, during)
	for _, p := range watched {
		checkUsage(t, p.Name, p, stops[p](), limits)
	}
}

func entryPublic(c *cluster.Cluster) string { return c.Entries[0].Public }

// Guards against requests over HTTP/1.1 that exhaust the memory of lg-entry.
func TestEntryStaysWithinMemory(t *testing.T) {
	for _, l := range append(callLoads(entryTarget), compressedBodies) {
		t.Run(l.name, func(t *testing.T) { attackCluster(t, l, clusterLimits, entryPublic) })
	}
}

// Guards against requests over HTTP/2 that exhaust the memory of lg-entry.
func TestEntryStaysWithinMemoryOverHTTP2(t *testing.T) {
	for _, l := range http2Loads {
		t.Run(l.name, func(t *testing.T) { attackCluster(t, l, clusterLimits, entryPublic) })
	}
}

// Guards against requests of other processes that exhaust the memory of lg-control.
func TestControlStaysWithinMemory(t *testing.T) {
	for _, l := range callLoads(controlTarget) {
		t.Run(l.name, func(t *testing.T) {
			attackCluster(t, l, clusterLimits, func(c *cluster.Cluster) string { return c.Controls[0].Peer })
		})
	}
}

// Guards against stalled connections that take all descriptors of a process.
func TestStalledConnectionsLeaveDescriptors(t *testing.T) {
	addresses := map[string]func(*cluster.Cluster) string{
		"public address of lg-entry":  entryPublic,
		"admin address of lg-entry":   func(c *cluster.Cluster) string { return c.Entries[0].Admin },
		"peer address of lg-entry":    func(c *cluster.Cluster) string { return c.Entries[0].Peer },
		"peer address of lg-control":  func(c *cluster.Cluster) string { return c.Controls[0].Peer },
		"admin address of lg-control": func(c *cluster.Cluster) string { return c.Controls[0].Admin },
	}
	for name, address := range addresses {
		t.Run(name, func(t *testing.T) { attackCluster(t, stalledCalls, fewDescriptors, address) })
	}
}

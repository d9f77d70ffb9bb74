// Command faults runs the system with real processes on loopback and injects
// faults under load. It compares the answers that callers received with the
// records of the emulated targets.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"laburnumgrade/internal/structs"
	"laburnumgrade/test/cluster"
)

type options struct {
	Bin  string `long:"bin" default:"bin" description:"folder of the binaries"`
	Keep bool   `long:"keep" description:"keep settings, data and logs"`
	Case string `long:"case" description:"run only cases whose name contains this"`
}

const (
	jobDocument = `[service]
team = refit
name = foam-order
command = order --foam
class = batch
idempotent = no
exclusive = yes
[size]
cpu = 2
memory = 4GB
[tasks]
count = 1
run_time = 60ms
[limits]
share = 3
cpu = 24
memory = 48GB
queue = 100000
`
	callDocument = `[service]
team = audit
name = visit-slip
command = confirm --visit
class = service
idempotent = no
open_queue = yes
[size]
cpu = 1
memory = 1GB
[tasks]
count = 8
[limits]
share = 1
cpu = 64
memory = 128GB
queue = 100000
`
	gigabyte = 1_000_000_000
)

var teamLimits = map[string]structs.Resources{
	"refit": {MilliCPU: 24_000, MemoryBytes: 48 * gigabyte},
	"audit": {MilliCPU: 64_000, MemoryBytes: 128 * gigabyte},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	failed := 0
	began := time.Now()
	for _, c := range cases {
		if !strings.Contains(c.name, o.Case) {
			continue
		}
		v, err := runCase(&o, c)
		if err != nil {
			fmt.Printf("%-34s ERROR  %v\n", c.name, err)
			failed++
			continue
		}
		v.print()
		if !v.ok() {
			failed++
		}
	}
	fmt.Printf("faults: %d failed, %d s in all\n", failed, int(time.Since(began).Seconds()))
	if failed > 0 {
		os.Exit(1)
	}
}

// environment is the cluster of one case under load.
type environment struct {
	cluster *cluster.Cluster
	load    *load
	keyID   map[string]string
	// inForce is how long the last grant of a key took to be in force on all
	// processes.
	inForce time.Duration
}

func runCase(o *options, fc faultCase) (*verdict, error) {
	folder, err := os.MkdirTemp("", "laburnumgrade-faults-")
	if err != nil {
		return nil, err
	}
	if o.Keep {
		fmt.Println(fc.name, "keeps its files in", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		return nil, err
	}
	c, err := cluster.New(cluster.Spec{
		Bin: bin, Folder: folder, DataCentres: []string{"Plateau", "Pikine", "Rufisque", "Thies"},
		VMsPerDataCentre: 2, DisksPerDataCentre: 1, Voters: 3, FleetVoters: 5, Relays: true,
		StandinArgs: []string{"--workers", "2", "--cores", "16", "--memory-gb", "32"},
	})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	if err := c.StartAll(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	e, err := prepare(ctx, c)
	if err != nil {
		return nil, err
	}
	return e.runUnderLoad(ctx, fc)
}

// prepare puts the documents, grants the keys, and starts the load once they
// are in force and all groups have their voters.
func prepare(ctx context.Context, c *cluster.Cluster) (*environment, error) {
	e := &environment{cluster: c, keyID: map[string]string{}}
	keys := map[string]string{}
	entry := c.Entries[0]
	for team, text := range map[string]string{"refit": jobDocument, "audit": callDocument} {
		if _, err := c.PutDocument(ctx, entry, text); err != nil {
			return nil, errors.Wrapf(err, "put document of team %s", team)
		}
		began := time.Now()
		key, err := c.GrantKey(ctx, entry, team)
		if err != nil {
			return nil, errors.Wrapf(err, "grant key of team %s", team)
		}
		if err := c.AwaitInForce(ctx, entry, key.Change.Index); err != nil {
			return nil, errors.Wrapf(err, "wait for the key of team %s", team)
		}
		e.inForce = time.Since(began)
		keys[team] = key.Key
		e.keyID[team] = key.KeyId
	}
	// Faults are injected only when each group has all its voters.
	if err := c.AwaitVoters(ctx); err != nil {
		return nil, err
	}
	e.load = startLoad(ctx, c, keys)
	return e, nil
}

// runUnderLoad runs the case, stops the load and evaluates the result.
func (e *environment) runUnderLoad(ctx context.Context, fc faultCase) (*verdict, error) {
	time.Sleep(time.Second)
	began := time.Now()
	var adjustment func(*verdict)
	err := fc.run(ctx, e, func(f func(*verdict)) { adjustment = f })
	operations := e.load.finish()
	if err != nil {
		return nil, err
	}
	report, err := e.cluster.Report(ctx)
	if err != nil {
		return nil, err
	}
	v := evaluate(fc.name, operations, report, began, teamLimits)
	v.inForce = e.inForce
	if adjustment != nil {
		adjustment(v)
	}
	return v, nil
}

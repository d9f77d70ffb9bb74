// Command load starts one entry, one control process and emulated service
// instances on loopback, and runs the load generator lg-load against them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/test/cluster"
)

type options struct {
	Bin       string   `long:"bin" default:"bin" description:"folder of the binaries"`
	Keep      bool     `long:"keep" description:"keep settings, data and logs"`
	Instances int      `long:"instances" default:"50" description:"instances, of 8 slots each"`
	Rate      float64  `long:"rate" default:"5000" description:"calls per second"`
	OnceRate  float64  `long:"once" default:"0" description:"non-idempotent calls per second besides"`
	LoadArgs  []string `long:"load" description:"further argument of lg-load; may be repeated"`
	Profile   string   `long:"profile" description:"file for a CPU profile of the entry under load"`
}

const document = `[service]
team = load
name = %s
command = answer
class = service
idempotent = %s
[size]
cpu = 1
memory = 1GB
[tasks]
count = 1
[limits]
share = 1
cpu = 64
memory = 128GB
queue = 1000
`

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	folder, err := os.MkdirTemp("", "laburnumgrade-load-")
	if err != nil {
		return err
	}
	if o.Keep {
		fmt.Println("load: files are in", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		return err
	}
	service := "echo"
	if o.OnceRate > 0 {
		service = "once"
	}
	c, err := cluster.New(cluster.Spec{
		Bin: bin, Folder: folder, DataCentres: []string{"Balaju"}, VMsPerDataCentre: 1, DisksPerDataCentre: 1, Voters: 1, FleetVoters: 1,
		StandinArgs: []string{"--service", "load/" + service, "--workers", "1", "--instances", strconv.Itoa(o.Instances)},
	})
	if err != nil {
		return err
	}
	defer c.Stop()
	if err := c.StartAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	key, err := prepare(ctx, c, service)
	if err != nil {
		return err
	}
	return measure(ctx, c, o, service, key)
}

// prepare puts the document, grants a key and waits until a call is answered.
// It returns the key.
func prepare(ctx context.Context, c *cluster.Cluster, service string) (string, error) {
	entry := c.Entries[0]
	idempotent := map[bool]string{true: "yes", false: "no"}[service == "echo"]
	if _, err := c.PutDocument(ctx, entry, fmt.Sprintf(document, service, idempotent)); err != nil {
		return "", errors.Wrap(err, "put document")
	}
	key, err := c.GrantKey(ctx, entry, "load")
	if err != nil {
		return "", errors.Wrap(err, "grant key")
	}
	return key.Key, cluster.Retry(ctx, 20*time.Second, func(ctx context.Context) error {
		r, err := c.Caller(entry, key.Key).Call(ctx, connect.NewRequest(&apiv1.CallRequest{
			RequestId: cluster.NewID(), Team: "load", Service: service, DeadlineMs: 1000,
		}))
		if err == nil && r.Msg.Outcome != apiv1.Outcome_OUTCOME_OK {
			err = errors.New(r.Msg.Detail)
		}
		return err
	})
}

func measure(ctx context.Context, c *cluster.Cluster, o *options, service, key string) error {
	addresses, err := instances(ctx, c)
	if err != nil {
		return err
	}
	rate := o.Rate
	if o.OnceRate > 0 {
		rate = o.OnceRate
	}
	args := []string{"--entry", c.Entries[0].Public, "--key", "load:" + key, "--call", fmt.Sprintf("load/%s=%v", service, rate)}
	for _, a := range addresses {
		args = append(args, "--direct", a)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.Spec.Bin, "lg-load"), append(args, o.LoadArgs...)...)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	if o.Profile != "" {
		go profile(ctx, c, o.Profile)
	}
	return cmd.Run()
}

func instances(ctx context.Context, c *cluster.Cluster) ([]string, error) {
	response, err := get(ctx, c, c.Standin.Admin, "/instances")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list []string
	err = json.NewDecoder(response.Body).Decode(&list)
	return list, errors.Wrap(err, "decode instances")
}

func get(ctx context.Context, c *cluster.Cluster, address, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	return c.Client.Do(r)
}

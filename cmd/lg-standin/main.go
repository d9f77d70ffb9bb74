// Command lg-standin emulates the workers and service instances of all data centres
// in one process. It serves only the demo, the tests and measurements.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/standin"
	"laburnumgrade/internal/structs"
)

// options are the options of the command line.
type options struct {
	Entries      []string      `long:"entry" required:"true" description:"data centre and entry address, as name=ip:port; may be repeated"`
	Admin        string        `long:"admin" required:"true" description:"address of the records, as ip:port"`
	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"address of the instances, with port 0"`
	Workers      int           `long:"workers" default:"2" description:"workers in each data centre"`
	RackSize     int           `long:"rack-size" default:"6" description:"workers in a rack"`
	Cores        int64         `long:"cores" default:"64" description:"cores of a worker"`
	MemoryGB     int64         `long:"memory-gb" default:"128" description:"memory of a worker in GB"`
	Accelerators int64         `long:"accelerators" default:"0" description:"accelerators of a worker"`
	Instances    int           `long:"instances" default:"0" description:"instances in each data centre that run without a worker"`
	Service      string        `long:"service" description:"team and service of the instances, as team/service"`
	Slots        int           `long:"slots" default:"8" description:"slots of an instance"`
	Connections  int           `long:"connections" default:"64" description:"connections of an instance"`
	Speed        float64       `long:"speed" default:"1" description:"factor by which targets are faster than nominal"`
	FailWorkers  int           `long:"fail-workers" default:"0" description:"workers in each data centre that fail every task"`
	LoseReplies  float64       `long:"lose-replies" default:"0" description:"probability that an answer to a call is lost"`
	DelayReplies time.Duration `long:"delay-replies" default:"0s" description:"delay of answers to calls"`
	SizeFactor   float64       `long:"size-factor" default:"1" description:"usage of a task relative to its declared size; 0 reports none"`
	UsageLag     time.Duration `long:"usage-lag" default:"2s" description:"age of reported usage"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the random source"`
}

const bytesPerGB = 1_000_000_000

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "lg-standin:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	entries, err := parseEntries(o.Entries)
	if err != nil {
		return err
	}
	f := &fleet{options: o, traffic: map[string]*standin.Traffic{}, records: standin.NewRecords(), logger: slog.New(slog.NewJSONHandler(os.Stderr, nil))}
	for dataCentre, addresses := range entries {
		if err := f.start(ctx, dataCentre, addresses); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.records.Report()) })
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.addresses()) })
	mux.HandleFunc("GET /traffic", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.trafficReport()) })
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) { f.announceLeaving(r.URL.Query().Get("target")) })
	if _, err := httpserver.Start(o.Admin, mux); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// parseEntries returns the entry addresses by data centre, from a list of
// data_centre=ip:port.
func parseEntries(list []string) (map[string][]string, error) {
	entries := map[string][]string{}
	for _, text := range list {
		dataCentre, address, ok := strings.Cut(text, "=")
		if !ok {
			return nil, errors.Errorf("--entry %q is not of the form data_centre=ip:port", text)
		}
		entries[dataCentre] = append(entries[dataCentre], address)
	}
	return entries, nil
}

// fleet is the set of emulated targets of all data centres.
type fleet struct {
	options *options
	// traffic, workers and instances are by the id of the target.
	traffic   map[string]*standin.Traffic
	records   *standin.Records
	logger    *slog.Logger
	workers   map[string]*standin.Worker
	instances map[string]*standin.Instance
}

// start starts the workers and instances of one data centre.
func (f *fleet) start(ctx context.Context, dataCentre string, entries []string) error {
	if f.workers == nil {
		f.workers = map[string]*standin.Worker{}
		f.instances = map[string]*standin.Instance{}
	}
	for i := range f.options.Workers {
		f.startWorker(ctx, dataCentre, i, entries)
	}
	for i := range f.options.Instances {
		if err := f.startInstance(ctx, dataCentre, i, entries); err != nil {
			return err
		}
	}
	return nil
}

// newClient returns the HTTP client of one target, whose traffic is counted.
func (f *fleet) newClient(id string) *http.Client {
	f.traffic[id] = &standin.Traffic{}
	return standin.NewClient(f.traffic[id])
}

// trafficReport returns the traffic of each target by id.
func (f *fleet) trafficReport() map[string]standin.TrafficReport {
	report := map[string]standin.TrafficReport{}
	for id, t := range f.traffic {
		report[id] = t.Report()
	}
	return report
}

// newBehaviour returns the behaviour that the options describe.
func (f *fleet) newBehaviour() standin.Behaviour {
	return standin.Behaviour{
		Speed:        f.options.Speed,
		LoseReplies:  f.options.LoseReplies,
		DelayReplies: f.options.DelayReplies,
		SizeFactor:   f.options.SizeFactor,
		UsageLag:     f.options.UsageLag,
	}
}

// startWorker starts the worker with index i of a data centre.
func (f *fleet) startWorker(ctx context.Context, dataCentre string, i int, entries []string) {
	b := f.newBehaviour()
	b.FailAll = i < f.options.FailWorkers
	id := fmt.Sprintf("%s-w%d", dataCentre, i)
	w := standin.NewWorker(standin.WorkerConfig{
		ID: id, DataCentre: dataCentre, Rack: fmt.Sprintf("%s-r%d", dataCentre, i/f.options.RackSize),
		Capacity:  structs.Resources{MilliCPU: f.options.Cores * 1000, MemoryBytes: f.options.MemoryGB * bytesPerGB, Accelerators: f.options.Accelerators},
		Behaviour: b, Entries: entries, Client: f.newClient(id), Records: f.records, Logger: f.logger,
		Instance: standin.InstanceConfig{Listen: f.options.Listen, Slots: f.options.Slots, Connections: f.options.Connections, Seed: f.options.Seed + uint64(i)},
	})
	f.workers[id] = w
	go w.Run(ctx)
}

// startInstance starts the instance with index i of a data centre.
func (f *fleet) startInstance(ctx context.Context, dataCentre string, i int, entries []string) error {
	team, service, ok := strings.Cut(f.options.Service, "/")
	if !ok {
		return errors.Errorf("--service %q is not of the form team/service", f.options.Service)
	}
	id := fmt.Sprintf("%s-i%d", dataCentre, i)
	in, err := standin.NewInstance(standin.InstanceConfig{
		ID: id, DataCentre: dataCentre, Team: team, Service: service, Listen: f.options.Listen, Slots: f.options.Slots, Connections: f.options.Connections,
		Behaviour: f.newBehaviour(), Seed: f.options.Seed + uint64(i), Entries: entries, Client: f.newClient(id), Records: f.records, Logger: f.logger,
	})
	if err != nil {
		return err
	}
	f.instances[id] = in
	go in.Run(ctx)
	return nil
}

// addresses returns the addresses of the instances that run without a worker.
func (f *fleet) addresses() []string {
	var list []string
	for _, in := range f.instances {
		list = append(list, in.Address())
	}
	return list
}

// announceLeaving makes a worker or instance announce that it takes no new work. An
// unknown id has no effect.
func (f *fleet) announceLeaving(target string) {
	if w := f.workers[target]; w != nil {
		w.Leave()
	}
	if in := f.instances[target]; in != nil {
		in.Leave()
	}
}

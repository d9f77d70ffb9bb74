// Command lg-standin emulates workers and service instances in one process. It
// is for the demo, tests and measurement only.
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

const gigabyte = 1_000_000_000

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
	f := &fleet{o: o, traffic: map[string]*standin.Traffic{}, records: standin.NewRecords(), logger: slog.New(slog.NewJSONHandler(os.Stderr, nil))}
	for dc, addresses := range entries {
		if err := f.start(ctx, dc, addresses); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.records.Report()) })
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.addresses()) })
	mux.HandleFunc("GET /traffic", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.trafficReport()) })
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) { f.leave(r.URL.Query().Get("target")) })
	if _, err := httpserver.Start(o.Admin, mux); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func parseEntries(list []string) (map[string][]string, error) {
	entries := map[string][]string{}
	for _, text := range list {
		dc, address, ok := strings.Cut(text, "=")
		if !ok {
			return nil, errors.Errorf("--entry %q is not of the form data_centre=ip:port", text)
		}
		entries[dc] = append(entries[dc], address)
	}
	return entries, nil
}

type fleet struct {
	o *options
	// traffic is that of each worker or instance by id.
	traffic   map[string]*standin.Traffic
	records   *standin.Records
	logger    *slog.Logger
	workers   map[string]*standin.Worker
	instances map[string]*standin.Instance
}

func (f *fleet) start(ctx context.Context, dc string, entries []string) error {
	if f.workers == nil {
		f.workers = map[string]*standin.Worker{}
		f.instances = map[string]*standin.Instance{}
	}
	for i := range f.o.Workers {
		f.startWorker(ctx, dc, i, entries)
	}
	for i := range f.o.Instances {
		if err := f.startInstance(ctx, dc, i, entries); err != nil {
			return err
		}
	}
	return nil
}

// client returns the client of one target.
func (f *fleet) client(id string) *http.Client {
	f.traffic[id] = &standin.Traffic{}
	return standin.NewClient(f.traffic[id])
}

func (f *fleet) trafficReport() map[string]standin.TrafficReport {
	report := map[string]standin.TrafficReport{}
	for id, t := range f.traffic {
		report[id] = t.Report()
	}
	return report
}

func (f *fleet) behaviour() standin.Behaviour {
	return standin.Behaviour{Speed: f.o.Speed, LoseReplies: f.o.LoseReplies, DelayReplies: f.o.DelayReplies, SizeFactor: f.o.SizeFactor, UsageLag: f.o.UsageLag}
}

func (f *fleet) startWorker(ctx context.Context, dc string, i int, entries []string) {
	b := f.behaviour()
	b.FailAll = i < f.o.FailWorkers
	id := fmt.Sprintf("%s-w%d", dc, i)
	w := standin.NewWorker(standin.WorkerConfig{
		ID: id, DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, i/f.o.RackSize),
		Capacity:  structs.Resources{MilliCPU: f.o.Cores * 1000, MemoryBytes: f.o.MemoryGB * gigabyte, Accelerators: f.o.Accelerators},
		Behaviour: b, Entries: entries, Client: f.client(id), Records: f.records, Logger: f.logger,
		Instance: standin.InstanceConfig{Listen: f.o.Listen, Slots: f.o.Slots, Connections: f.o.Connections, Seed: f.o.Seed + uint64(i)},
	})
	f.workers[id] = w
	go w.Run(ctx)
}

func (f *fleet) startInstance(ctx context.Context, dc string, i int, entries []string) error {
	team, service, ok := strings.Cut(f.o.Service, "/")
	if !ok {
		return errors.Errorf("--service %q is not of the form team/service", f.o.Service)
	}
	id := fmt.Sprintf("%s-i%d", dc, i)
	in, err := standin.NewInstance(standin.InstanceConfig{
		ID: id, DataCentre: dc, Team: team, Service: service, Listen: f.o.Listen, Slots: f.o.Slots, Connections: f.o.Connections,
		Behaviour: f.behaviour(), Seed: f.o.Seed + uint64(i), Entries: entries, Client: f.client(id), Records: f.records, Logger: f.logger,
	})
	if err != nil {
		return err
	}
	f.instances[id] = in
	go in.Run(ctx)
	return nil
}

// addresses returns the addresses of the instances.
func (f *fleet) addresses() []string {
	var list []string
	for _, in := range f.instances {
		list = append(list, in.Address())
	}
	return list
}

func (f *fleet) leave(target string) {
	if w := f.workers[target]; w != nil {
		w.Leave()
	}
	if in := f.instances[target]; in != nil {
		in.Leave()
	}
}

// Command lg-load sends calls and jobs at planned times and reports their latency.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"laburnumgrade/internal/load"
)

// options are the options of the command line.
type options struct {
	Entries  []string          `long:"entry" required:"true" description:"address of an entry; may be repeated"`
	Calls    []string          `long:"call" description:"calls, as team/service=rate per second; may be repeated"`
	Batch    []string          `long:"batch" description:"jobs of one task, as team/service=rate per second; may be repeated"`
	Gang     []string          `long:"gang" description:"jobs of several tasks, as team/service/tasks=rate per second; may be repeated"`
	Keys     map[string]string `long:"key" description:"key of a team, as team:key; may be repeated"`
	Direct   []string          `long:"direct" description:"address of an instance; the first kind of calls is also sent straight to these, in turn"`
	Body     string            `long:"body" default:"{\"run_ms\":10}" description:"body of the calls and payload of the jobs"`
	Deadline time.Duration     `long:"deadline" default:"5s" description:"time budget of a call"`
	Warmup   time.Duration     `long:"warmup" default:"1s" description:"time before the measurement of each round"`
	Duration time.Duration     `long:"duration" default:"10s" description:"time of the measurement over all rounds"`
	Rounds   int               `long:"rounds" default:"4" description:"how often direct calls and the rest take turns"`
	Seed     uint64            `long:"seed" default:"1" description:"seed of the arrival times"`
	JSON     bool              `long:"json" description:"report as JSON"`
	Check    bool              `long:"check" description:"check the arguments and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "lg-load:", err)
		os.Exit(1)
	}
}

// run sends the load and prints the result. Direct calls have the rate of the first
// stream of calls, so that the difference of their latencies is the share of the
// entry.
func run(o *options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	client := load.NewClient()
	streams, err := o.streams(load.NewSender(client, o.Entries, []byte(o.Body), o.Deadline))
	if err != nil || o.Check {
		return err
	}
	plan := load.Plan{Warmup: o.Warmup, Duration: o.Duration, Rounds: max(o.Rounds, 1), Seed: o.Seed}
	result := &load.Result{}
	if len(o.Direct) > 0 && len(o.Calls) > 0 {
		direct := load.Stream{Name: "direct to instances", Rate: streams[0].Rate, Send: load.DirectCall(client, o.Direct, []byte(o.Body), o.Deadline)}
		reports := load.Run(ctx, plan, []load.Stream{direct}, streams)
		result.Direct, result.Streams = &reports[0][0], reports[1]
		share := result.Streams[0].P99 - result.Direct.P99
		result.EntryShareP99 = &share
	} else {
		result.Streams = load.Run(ctx, plan, streams)[0]
	}
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	return result.Print(os.Stdout)
}

// streams returns the streams that the options describe: calls, then jobs of one
// task, then gang jobs.
func (o *options) streams(s *load.Sender) ([]load.Stream, error) {
	var streams []load.Stream
	add := func(option string, values []string, parts int, newSend func(names []string) (load.SendFunc, error)) error {
		for _, text := range values {
			name, rate, err := parseRate(text, parts)
			if err != nil {
				return errors.Wrapf(err, "--%s %q", option, text)
			}
			send, err := newSend(strings.Split(name, "/"))
			if err != nil {
				return errors.Wrapf(err, "--%s %q", option, text)
			}
			streams = append(streams, load.Stream{Name: option + " " + name, Rate: rate, Send: send})
		}
		return nil
	}
	err := add("call", o.Calls, 2, func(names []string) (load.SendFunc, error) { return s.Call(names[0], names[1], o.Keys[names[0]]), nil })
	if err != nil {
		return nil, err
	}
	err = add("batch", o.Batch, 2, func(names []string) (load.SendFunc, error) {
		return s.Job(names[0], names[1], o.Keys[names[0]], 1), nil
	})
	if err != nil {
		return nil, err
	}
	err = add("gang", o.Gang, 3, func(names []string) (load.SendFunc, error) {
		tasks, err := strconv.ParseInt(names[2], 10, 32)
		if err != nil || tasks < 1 {
			return nil, errors.Errorf("%q is not a number of tasks", names[2])
		}
		return s.Job(names[0], names[1], o.Keys[names[0]], int32(tasks)), nil
	})
	if err != nil {
		return nil, err
	}
	if len(streams) == 0 {
		return nil, errors.New("nothing to send: give --call, --batch or --gang")
	}
	return streams, nil
}

// parseRate parses name=rate. The name must have the given number of parts,
// separated by slashes; the rate is in arrivals a second.
func parseRate(text string, parts int) (name string, rate float64, err error) {
	name, number, ok := strings.Cut(text, "=")
	if !ok || strings.Count(name, "/") != parts-1 {
		return "", 0, errors.Errorf("must be %d names separated by slashes, followed by = and a rate", parts)
	}
	rate, err = strconv.ParseFloat(number, 64)
	if err != nil || rate <= 0 {
		return "", 0, errors.Errorf("the rate %q is not a positive number", number)
	}
	return name, rate, nil
}

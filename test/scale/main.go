// Command scale measures the CPU time, memory and traffic of the control plane
// of one data centre with real processes on loopback. It prints the cost per
// worker, task and placement for capacity planning.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Bin           string        `long:"bin" default:"bin" description:"folder of the binaries"`
	Folder        string        `long:"folder" description:"folder of settings, data and logs, which are removed at the end; default the system's"`
	Workers       int           `long:"workers" default:"700" description:"workers of the largest point"`
	Rate          int           `long:"rate" default:"280" description:"starts per second of the loaded point"`
	LoadDuration  time.Duration `long:"load" default:"20s" description:"length of the loaded measurement"`
	LoadedOnly    bool          `long:"loaded" description:"measure only the loaded point"`
	SlopeDuration time.Duration `long:"slope" default:"6s" description:"length of each measurement without starts"`
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
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	points := []point{{workers: o.Workers, rate: o.Rate, runTime: 20 * time.Second, duration: o.LoadDuration}}
	if !o.LoadedOnly {
		for _, p := range [][2]int{{100, 4}, {300, 4}, {o.Workers, 4}, {o.Workers, 1}, {o.Workers, 16}} {
			points = append(points, point{workers: p[0], tasks: p[1], duration: o.SlopeDuration})
		}
	}
	fmt.Println("one lg-control (single replica, with a disk), one lg-entry and one lg-standin on one machine, over loopback")
	fmt.Println(header)
	var results []*result
	for _, p := range points {
		r, err := measure(context.Background(), o, p)
		if err != nil {
			return err
		}
		results = append(results, r)
		fmt.Println(r.row())
	}
	results[0].printLoaded()
	if !o.LoadedOnly {
		printSlopes(results)
	}
	return nil
}

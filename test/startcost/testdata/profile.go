package main

import (
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
)

// init makes SIGUSR1 start a processor profile, written to the file that START_PROFILE names, and
// SIGUSR2 end it and write a profile of the allocations beside it.
func init() {
	path := os.Getenv("START_PROFILE")
	if path == "" {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR2 {
				pprof.StopCPUProfile()
				if out, err := os.Create(path + ".allocs"); err == nil {
					_ = pprof.Lookup("allocs").WriteTo(out, 0)
				}
				continue
			}
			out, err := os.Create(path)
			if err == nil {
				_ = pprof.StartCPUProfile(out)
			}
		}
	}()
}

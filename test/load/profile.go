package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"laburnumgrade/test/cluster"
)

// profileDelay is longer than the direct calls and the warm-up, so that the
// profile covers the calls through the entry.
const profileDelay = 15 * time.Second

// profile writes a CPU profile of the entry to a file.
func profile(ctx context.Context, c *cluster.Cluster, path string) {
	time.Sleep(profileDelay)
	r, err := get(ctx, c, c.Entries[0].Admin, "/debug/pprof/profile?seconds=6")
	if err != nil {
		fmt.Fprintln(os.Stderr, "load: profile:", err)
		return
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "load: profile:", err)
	}
}

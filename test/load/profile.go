package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"laburnumgrade/test/cluster"
)

// profileAfter is when the calls through the entry are under way: after the
// direct ones and the warm-up.
const profileAfter = 15 * time.Second

// profile writes a CPU profile of the entry to a file.
func profile(ctx context.Context, c *cluster.Cluster, path string) {
	time.Sleep(profileAfter)
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

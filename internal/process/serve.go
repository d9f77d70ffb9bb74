package process

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/adapter/httpserver"
	"laburnumgrade/internal/logging"
)

// Servers are the HTTP servers of a process.
type Servers []*httpserver.Server

// StartServers starts a server at each address.
func StartServers(handlers map[string]http.Handler) (Servers, error) {
	var servers Servers
	for address, handler := range handlers {
		s, err := httpserver.Start(address, handler)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// Drain asks the clients of all servers to use other connections.
func (s Servers) Drain() {
	for _, server := range s {
		server.Drain()
	}
}

// Shutdown finishes the requests in progress until the limit or a second signal.
func (s Servers) Shutdown(second <-chan struct{}, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-second:
			cancel()
		case <-ctx.Done():
		}
	}()
	results := make(chan error, len(s))
	for _, server := range s {
		go func() { results <- server.Shutdown(ctx) }()
	}
	var failed error
	for range s {
		if err := <-results; err != nil {
			failed = errors.Wrap(err, "shut down")
		}
	}
	return failed
}

// WaitOrSignal waits for a time or the second signal.
func WaitOrSignal(second <-chan struct{}, d time.Duration) {
	select {
	case <-second:
	case <-time.After(d):
	}
}

// stamp tells versions of a file apart.
func stamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime(), info.Size())
}

// reloads returns a channel that receives the signals to read the settings
// again. A broken pipe is an error of a write, not the end of the process.
func reloads() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}

// reloadInterval is how often a changed settings file is noticed without a
// signal.
const reloadInterval = time.Second

// ReloadOnChange reads the settings again after each signal, and when the file has
// changed, and hands them to apply. Settings with faults are logged and change
// nothing.
func ReloadOnChange[S any](path string, logger *slog.Logger, read func(path string) (S, error), apply func(S)) {
	signals := reloads()
	last := stamp(path)
	for {
		select {
		case <-signals:
		case <-time.After(reloadInterval):
			if now := stamp(path); now == last {
				continue
			}
		}
		last = stamp(path)
		fresh, err := read(path)
		if err != nil {
			logger.Warn("settings not reloaded", logging.Step("reload"), logging.Error(err))
			continue
		}
		apply(fresh)
		logger.Info("settings reloaded", logging.Step("reload"))
	}
}

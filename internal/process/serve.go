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
	"laburnumgrade/internal/descriptor"
	"laburnumgrade/internal/intake"
	"laburnumgrade/internal/logging"
)

// Servers are the HTTP servers of a process.
type Servers []*httpserver.Server

// internalIdleTimeout is how long an idle connection of another process of the system is kept.
// It exceeds that of cellapi's clients, so that they do not send on a connection that is about
// to be closed.
const internalIdleTimeout = time.Minute

// Intake bounds what the servers of a process receive. The zero value has no bounds.
type Intake struct {
	// Public is the address of the server for clients outside the system; the other addresses
	// serve its own processes.
	Public string
	// Limits bound the connections of the server at Public.
	Limits intake.Limits
	// Budget bounds the memory of requests, and Part the connections, of all servers.
	Budget *intake.Budget
	Part   *descriptor.Part
}

// options returns the options of the server at the address.
func (in *Intake) options(address string) httpserver.Options {
	o := httpserver.Options{Limits: in.Limits, Part: in.Part, Budget: in.Budget}
	if address != in.Public {
		o.Internal, o.Limits = true, intake.DefaultLimits
		o.IdleTimeout = internalIdleTimeout
	}
	return o
}

// StartServers starts one server for each address, for HTTP/1.1 only. While the part is full,
// they close idle connections first, and if there are none, the connection that has gone
// longest without progress among those with an incomplete request. If a server fails to start,
// those already started are stopped.
func StartServers(handlers map[string]http.Handler, in Intake) (Servers, error) {
	var servers Servers
	for address, handler := range handlers {
		s, err := httpserver.StartWithin(address, handler, in.options(address))
		if err != nil {
			stopped := make(chan struct{})
			close(stopped)
			_ = servers.Shutdown(stopped, 0)
			return nil, err
		}
		servers = append(servers, s)
	}
	in.Part.OnFull(func() {
		if in.Part.Open() >= in.Part.Size() { // the servers had no idle connections
			in.Budget.CloseStalled()
		}
	})
	return servers, nil
}

// Drain asks the clients of all servers to use other connections.
func (s Servers) Drain() {
	for _, server := range s {
		server.Drain()
	}
}

// Shutdown stops listening and waits until the requests in progress have ended,
// the timeout expires or secondSignal is closed. It returns the last error.
func (s Servers) Shutdown(secondSignal <-chan struct{}, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-secondSignal:
			cancel()
		case <-ctx.Done():
		}
	}()
	results := make(chan error, len(s))
	for _, server := range s {
		go func() { results <- server.Shutdown(ctx) }()
	}
	var lastErr error
	for range s {
		if err := <-results; err != nil {
			lastErr = errors.Wrap(err, "shut down")
		}
	}
	return lastErr
}

// WaitOrSignal waits for a duration, or until secondSignal is closed.
func WaitOrSignal(secondSignal <-chan struct{}, d time.Duration) {
	select {
	case <-secondSignal:
	case <-time.After(d):
	}
}

// fileVersion returns a text that changes when the file is written: its
// modification time and size, or the error of reading them.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.ModTime(), info.Size())
}

// reloadSignals returns a channel that receives SIGHUP, which requests a reload
// of the settings. It also ignores SIGPIPE, so that a write to a broken pipe
// returns an error instead of ending the process.
func reloadSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}

// reloadInterval is how often the settings file is checked for changes.
const reloadInterval = time.Second

// ReloadOnChange reads the settings again after each SIGHUP and whenever the file
// has changed, and passes them to apply. If the settings cannot be read, it logs
// the error and keeps those in use. It never returns.
func ReloadOnChange[S any](path string, logger *slog.Logger, read func(path string) (S, error), apply func(S)) {
	signals := reloadSignals()
	loaded := fileVersion(path)
	for {
		select {
		case <-signals:
		case <-time.After(reloadInterval):
			if current := fileVersion(path); current == loaded {
				continue
			}
		}
		loaded = fileVersion(path)
		fresh, err := read(path)
		if err != nil {
			logger.Warn("settings not reloaded", logging.Step("reload"), logging.Error(err))
			continue
		}
		apply(fresh)
		logger.Info("settings reloaded", logging.Step("reload"))
	}
}

package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/test/cluster"
)

// faultCase breaks something while the load runs. The function add registers a
// correction of the verdict.
type faultCase struct {
	name string
	run  func(ctx context.Context, e *environment, add func(func(*verdict))) error
}

const (
	// settle is the time given to the system after a fault is over.
	settle = 3 * time.Second
	// pauseLength is longer than every lease.
	pauseLength = 6 * time.Second
)

var cases = []faultCase{
	{"control leader killed", killLeader},
	{"control leader paused 6 s", pauseLeader},
	{"entry killed", killEntry},
	{"data folder emptied", emptyFolder},
	{"second VM lost after repair", secondLoss},
	{"data centre cut off 6 s", cutDataCentre},
	{"VM isolated, key withdrawn", func(ctx context.Context, e *environment, add func(func(*verdict))) error {
		return withdrawBehind(ctx, e, add, func(cut bool) { e.c.Isolate(0, cut) })
	}},
	{"data centre cut off, key withdrawn", func(ctx context.Context, e *environment, add func(func(*verdict))) error {
		return withdrawBehind(ctx, e, add, func(cut bool) { e.c.Partition(0, cut) })
	}},
	{"entry and leader shut down", shutDown},
	{"all targets paused 6 s", pauseTargets},
	{"worker leaves", leaveWorker},
}

// startAndSettle starts a process and gives the system time.
func (e *environment) startAndSettle(p *cluster.Process) error {
	if err := e.c.Start(p); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// killLeader kills the leader of a data centre group and starts it again.
func killLeader(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	p, err := e.c.Leader(ctx, 0)
	if err != nil {
		return err
	}
	p.Kill()
	time.Sleep(settle)
	return e.startAndSettle(p)
}

func pauseLeader(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	p, err := e.c.Leader(ctx, 0)
	if err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(pauseLength)
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

func killEntry(_ context.Context, e *environment, _ func(func(*verdict))) error {
	p := e.c.Entries[0]
	p.Kill()
	time.Sleep(settle)
	return e.startAndSettle(p)
}

// emptyFolder kills a voter with a disk, empties its data folder and starts it
// again: it must not vote as the voter it was.
func emptyFolder(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	p := e.c.Controls[0]
	p.Kill()
	if err := os.RemoveAll(p.Folder); err != nil {
		return errors.Wrap(err, "empty data folder")
	}
	if err := os.MkdirAll(p.Folder, 0o700); err != nil {
		return errors.Wrap(err, "make data folder")
	}
	if err := e.c.Start(p); err != nil {
		return err
	}
	if err := e.c.AwaitVoters(ctx); err != nil {
		return errors.Wrap(err, "repair")
	}
	time.Sleep(settle)
	return nil
}

// secondLoss restarts a diskless voter, waits for its repair, and at once kills
// another voter of the same group.
func secondLoss(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	diskless := e.c.Controls[1]
	diskless.Kill()
	time.Sleep(time.Second)
	if err := e.c.Start(diskless); err != nil {
		return err
	}
	if err := e.c.AwaitVoters(ctx); err != nil {
		return errors.Wrap(err, "repair")
	}
	second := e.c.Controls[0]
	second.Kill()
	time.Sleep(settle)
	return e.startAndSettle(second)
}

// cutDataCentre cuts a data centre off; both sides go on serving.
func cutDataCentre(_ context.Context, e *environment, _ func(func(*verdict))) error {
	e.c.Partition(0, true)
	time.Sleep(pauseLength)
	e.c.Partition(0, false)
	time.Sleep(settle)
	return nil
}

// lateBound is the time after which a withdrawn key must be refused everywhere.
const lateBound = 3 * time.Second

// withdrawBehind cuts an entry off silently while callers still reach it, and
// withdraws a key on the other side. Acceptances through the entry after the
// bound are late. An isolated VM cannot commit work, but a data centre that is
// cut off can: there only the configuration lease stops the key.
func withdrawBehind(ctx context.Context, e *environment, add func(func(*verdict)), set func(cut bool)) error {
	isolated := e.c.Entries[0]
	key, err := e.c.GrantKey(ctx, e.c.Entries[2], "refit")
	if err != nil {
		return err
	}
	if err := e.c.AwaitInForce(ctx, e.c.Entries[2], key.Change.Index); err != nil {
		return err
	}
	set(true)
	defer set(false)
	withdrawn := time.Now()
	operation := cluster.NewID()
	err = cluster.Retry(ctx, 10*time.Second, func(ctx context.Context) error {
		_, err := e.c.Operator(e.c.Entries[2]).WithdrawKey(ctx, connect.NewRequest(&apiv1.WithdrawKeyRequest{KeyId: key.KeyId, OperationId: operation}))
		return err
	})
	if err != nil {
		return errors.Wrap(err, "withdraw key")
	}
	late := 0
	for time.Since(withdrawn) < pauseLength {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := e.c.Caller(isolated, key.Key).SubmitJob(ctx, connect.NewRequest(&apiv1.SubmitJobRequest{
			JobId: cluster.NewID() + ".Plateau", Team: "refit", Service: "foam-order",
		}))
		cancel()
		if err == nil && time.Since(withdrawn) > lateBound {
			late++
		}
		time.Sleep(20 * time.Millisecond)
	}
	add(func(v *verdict) { v.lateKey = late })
	set(false)
	time.Sleep(settle)
	return nil
}

// drainLimit bounds a graceful shutdown.
const drainLimit = 25 * time.Second

// shutDown shuts an entry down gracefully, then a group's leader. Neither may
// cut off a request, so no outcome may be unknown.
func shutDown(ctx context.Context, e *environment, add func(func(*verdict))) error {
	leader, err := e.c.Leader(ctx, 0)
	if err != nil {
		return err
	}
	for _, p := range []*cluster.Process{e.c.Entries[0], leader} {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if code := p.Wait(drainLimit); code != 0 {
			return errors.Errorf("%s ended with exit code %d", p.Name, code)
		}
		time.Sleep(time.Second)
		if err := e.startAndSettle(p); err != nil {
			return err
		}
	}
	add(func(v *verdict) {
		if v.unknown > 0 {
			v.wrong += v.unknown
			v.notes = append(v.notes, "a graceful shutdown left outcomes unknown")
		}
	})
	return nil
}

// pauseTargets pauses all workers for longer than their leases. What ran then
// is lost; non-idempotent work must not run again.
func pauseTargets(_ context.Context, e *environment, _ func(func(*verdict))) error {
	if err := e.c.Standin.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(pauseLength)
	if err := e.c.Standin.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// leaveBound is the time after which a leaving target gets no new work.
const leaveBound = 3 * time.Second

// leaveWorker makes a worker announce that it leaves. Tasks that start on it
// after the bound are wrong.
func leaveWorker(ctx context.Context, e *environment, add func(func(*verdict))) error {
	const worker = "Plateau-w0"
	before, err := e.c.TaskStarts(ctx, worker)
	if err != nil {
		return err
	}
	if before == 0 {
		return errors.Errorf("no task has started on %s", worker)
	}
	if err := e.c.Leave(ctx, worker); err != nil {
		return err
	}
	time.Sleep(leaveBound)
	atBound, err := e.c.TaskStarts(ctx, worker)
	if err != nil {
		return err
	}
	time.Sleep(settle)
	after, err := e.c.TaskStarts(ctx, worker)
	if err != nil {
		return err
	}
	add(func(v *verdict) {
		v.wrong += after - atBound
		v.notes = append(v.notes, fmt.Sprintf("tasks started on the worker: %d before, %d until the bound, %d after it", before, atBound-before, after-atBound))
	})
	return nil
}

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

// faultCase injects a fault while the load runs. By calling adjust, run
// registers a function that adds the findings of the case to the verdict.
type faultCase struct {
	name string
	run  func(ctx context.Context, e *environment, adjust func(func(*verdict))) error
}

const (
	// settleTime is how long the system may take to recover from a fault.
	settleTime = 3 * time.Second
	// pauseDuration is longer than every lease.
	pauseDuration = 6 * time.Second
)

var cases = []faultCase{
	{"control leader killed", killLeader},
	{"control leader paused 6 s", pauseLeader},
	{"entry killed", killEntry},
	{"data folder emptied", emptyFolder},
	{"second VM lost after repair", loseSecondVoter},
	{"data centre cut off 6 s", cutDataCentre},
	{"VM isolated, key withdrawn", func(ctx context.Context, e *environment, adjust func(func(*verdict))) error {
		return withdrawKeyDuringCut(ctx, e, adjust, func(cut bool) { e.cluster.Isolate(0, cut) })
	}},
	{"data centre cut off, key withdrawn", func(ctx context.Context, e *environment, adjust func(func(*verdict))) error {
		return withdrawKeyDuringCut(ctx, e, adjust, func(cut bool) { e.cluster.Partition(0, cut) })
	}},
	{"entry and leader shut down", shutDown},
	{"all targets paused 6 s", pauseTargets},
	{"worker leaves", leaveWorker},
}

// startAndSettle starts a process and waits for settleTime.
func (e *environment) startAndSettle(p *cluster.Process) error {
	if err := e.cluster.Start(p); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// killLeader kills the leader of a data centre group and starts it again.
func killLeader(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	p, err := e.cluster.Leader(ctx, 0)
	if err != nil {
		return err
	}
	p.Kill()
	time.Sleep(settleTime)
	return e.startAndSettle(p)
}

func pauseLeader(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	p, err := e.cluster.Leader(ctx, 0)
	if err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(pauseDuration)
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

func killEntry(_ context.Context, e *environment, _ func(func(*verdict))) error {
	p := e.cluster.Entries[0]
	p.Kill()
	time.Sleep(settleTime)
	return e.startAndSettle(p)
}

// emptyFolder kills a voter with a disk, empties its data folder and starts it
// again. It must not vote under its former id, since it has lost its vote and
// log.
func emptyFolder(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	p := e.cluster.Controls[0]
	p.Kill()
	if err := os.RemoveAll(p.Folder); err != nil {
		return errors.Wrap(err, "empty data folder")
	}
	if err := os.MkdirAll(p.Folder, 0o700); err != nil {
		return errors.Wrap(err, "create data folder")
	}
	if err := e.cluster.Start(p); err != nil {
		return err
	}
	if err := e.cluster.AwaitVoters(ctx); err != nil {
		return errors.Wrap(err, "repair")
	}
	time.Sleep(settleTime)
	return nil
}

// loseSecondVoter restarts a voter without a disk, waits until it is replaced,
// and then immediately kills another voter of the same group.
func loseSecondVoter(ctx context.Context, e *environment, _ func(func(*verdict))) error {
	diskless := e.cluster.Controls[1]
	diskless.Kill()
	time.Sleep(time.Second)
	if err := e.cluster.Start(diskless); err != nil {
		return err
	}
	if err := e.cluster.AwaitVoters(ctx); err != nil {
		return errors.Wrap(err, "repair")
	}
	second := e.cluster.Controls[0]
	second.Kill()
	time.Sleep(settleTime)
	return e.startAndSettle(second)
}

// cutDataCentre cuts a data centre off from the others. Both sides must
// continue to serve.
func cutDataCentre(_ context.Context, e *environment, _ func(func(*verdict))) error {
	e.cluster.Partition(0, true)
	time.Sleep(pauseDuration)
	e.cluster.Partition(0, false)
	time.Sleep(settleTime)
	return nil
}

// withdrawalBound is the time after which a withdrawn key must be refused
// everywhere.
const withdrawalBound = 3 * time.Second

// withdrawKeyDuringCut cuts an entry off from the other side, while callers can
// still reach it, and withdraws a key on the other side. Submissions that the
// entry accepts after withdrawalBound are counted as late. An isolated VM
// cannot commit work, but a data centre that is cut off can, so only the expiry
// of the entry's configuration lease ends the use of the key there.
func withdrawKeyDuringCut(ctx context.Context, e *environment, adjust func(func(*verdict)), set func(cut bool)) error {
	isolated := e.cluster.Entries[0]
	key, err := e.cluster.GrantKey(ctx, e.cluster.Entries[2], "refit")
	if err != nil {
		return err
	}
	if err := e.cluster.AwaitInForce(ctx, e.cluster.Entries[2], key.Change.Index); err != nil {
		return err
	}
	set(true)
	defer set(false)
	withdrawn := time.Now()
	operation := cluster.NewID()
	err = cluster.Retry(ctx, 10*time.Second, func(ctx context.Context) error {
		_, err := e.cluster.Operator(e.cluster.Entries[2]).WithdrawKey(ctx, connect.NewRequest(&apiv1.WithdrawKeyRequest{KeyId: key.KeyId, OperationId: operation}))
		return err
	})
	if err != nil {
		return errors.Wrap(err, "withdraw key")
	}
	late := 0
	for time.Since(withdrawn) < pauseDuration {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := e.cluster.Caller(isolated, key.Key).SubmitJob(ctx, connect.NewRequest(&apiv1.SubmitJobRequest{
			JobId: cluster.NewID() + ".Plateau", Team: "refit", Service: "foam-order",
		}))
		cancel()
		if err == nil && time.Since(withdrawn) > withdrawalBound {
			late++
		}
		time.Sleep(20 * time.Millisecond)
	}
	adjust(func(v *verdict) { v.lateKey = late })
	set(false)
	time.Sleep(settleTime)
	return nil
}

// drainLimit bounds a graceful shutdown.
const drainLimit = 25 * time.Second

// shutDown shuts down an entry gracefully, and then the leader of a group.
// Neither may abort a request in flight, so no outcome may be unknown.
func shutDown(ctx context.Context, e *environment, adjust func(func(*verdict))) error {
	leader, err := e.cluster.Leader(ctx, 0)
	if err != nil {
		return err
	}
	for _, p := range []*cluster.Process{e.cluster.Entries[0], leader} {
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
	adjust(func(v *verdict) {
		if v.unknown > 0 {
			v.wrong += v.unknown
			v.notes = append(v.notes, "a graceful shutdown left outcomes unknown")
		}
	})
	return nil
}

// pauseTargets pauses all workers for longer than their leases. Their running
// tasks are lost, and those that are not idempotent must not run again.
func pauseTargets(_ context.Context, e *environment, _ func(func(*verdict))) error {
	if err := e.cluster.Standin.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(pauseDuration)
	if err := e.cluster.Standin.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// leaveBound is the time after which a leaving target must not get new tasks.
const leaveBound = 3 * time.Second

// leaveWorker makes a worker announce that it leaves. Tasks that start on it
// after leaveBound are counted as wrong.
func leaveWorker(ctx context.Context, e *environment, adjust func(func(*verdict))) error {
	const worker = "Plateau-w0"
	before, err := e.cluster.TaskStarts(ctx, worker)
	if err != nil {
		return err
	}
	if before == 0 {
		return errors.Errorf("no task has started on %s", worker)
	}
	if err := e.cluster.Leave(ctx, worker); err != nil {
		return err
	}
	time.Sleep(leaveBound)
	atBound, err := e.cluster.TaskStarts(ctx, worker)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	after, err := e.cluster.TaskStarts(ctx, worker)
	if err != nil {
		return err
	}
	adjust(func(v *verdict) {
		v.wrong += after - atBound
		v.notes = append(v.notes, fmt.Sprintf("tasks started on the worker: %d before, %d until the bound, %d after it", before, atBound-before, after-atBound))
	})
	return nil
}

package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumgrade/internal/cell"
	"laburnumgrade/internal/cellapi"
	"laburnumgrade/internal/logging"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/replica"
)

var _ cellapi.Service = (*Leader)(nil)

// Do implements cellapi.Service.
func (l *Leader) Do(ctx context.Context, c *cellapi.Call) *cellapi.Reply {
	t := l.current()
	since, leads := l.Log.Lease()
	if t == nil || !leads {
		return l.notLeader()
	}
	r, committed := l.answer(ctx, t, c)
	// What was read counts only if nobody else could lead until now.
	if s, still := l.Log.Lease(); (!still || s != since) && !committed {
		return l.notLeader()
	}
	r.Members = l.Members()
	r.Public = l.PublicAddress
	return r
}

func (l *Leader) notLeader() *cellapi.Reply {
	_, address := l.Log.Leader()
	if address == l.PeerAddress {
		address = ""
	}
	return &cellapi.Reply{NotLeader: true, Leader: address}
}

// answer carries a call out. It also returns whether the reply rests on a commit
// and so holds whoever leads by now; other replies rest on the leader's lease.
func (l *Leader) answer(ctx context.Context, t *term, c *cellapi.Call) (r *cellapi.Reply, committed bool) {
	switch {
	case c.Submit != nil:
		return l.submit(ctx, c.Submit)
	case c.Status != nil:
		return l.status(c.Status), false
	case c.Cancel != nil:
		r := l.commit(ctx, &cell.Command{Cancel: c.Cancel})
		l.Logger.Info("job cancelled", logging.Step("cancel"), logging.Job(jobID(c.Cancel.Path)), "verdict", r.Verdict.String(), "configuration", l.version(), "unknown", r.Unknown)
		return r, true
	case c.Configure != nil:
		return l.configure(ctx, c.Configure)
	case c.ReadConfiguration != nil:
		return l.read(), false
	case c.Report != nil:
		return t.report(ctx, c.Report)
	case c.StartWave != nil:
		order := *c.StartWave
		order.AcceptedMS = t.wall.unixMS(l.Clock.Now())
		r := l.commit(ctx, &cell.Command{StartWave: &order})
		l.Logger.Info("wave of upkeep", logging.Step("start wave"), "wave", c.StartWave.Number, "machines", len(c.StartWave.Machines), "bound", c.StartWave.MaxDown,
			"duration_ms", c.StartWave.DurationMS, "verdict", r.Verdict.String(), "unknown", r.Unknown)
		return r, true
	case c.ReadWave != nil:
		return l.waveState(c.ReadWave), false
	case c.AnnounceAdviceCaller != nil:
		t.announced(c.AnnounceAdviceCaller.Peer, c.AnnounceAdviceCaller.UnixMS)
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	case c.AnnounceReplica != nil:
		l.OnJoin(c.AnnounceReplica.Replica, c.AnnounceReplica.Peer)
		t.announced(c.AnnounceReplica.Peer, c.AnnounceReplica.UnixMS)
		return &cellapi.Reply{Verdict: cell.Accepted, AdviceCallers: t.advice.living(l.Clock.Now())}, false
	}
	return &cellapi.Reply{Refused: "the call is empty"}, true
}

// announced notes a process that lives, and its clock.
func (t *term) announced(peer string, unixMS int64) {
	now := t.l.Clock.Now()
	t.advice.announce(peer, now)
	t.wall.observe(peer, unixMS, now)
}

// version returns the version of the configuration in force, 0 if there is none.
func (l *Leader) version() int64 {
	var version int64
	l.Store.View(func(v *cell.View) {
		if c := v.Configuration(); c != nil {
			version = c.Version
		}
	})
	return version
}

// commit proposes a command whose result is a verdict.
func (l *Leader) commit(ctx context.Context, c *cell.Command) *cellapi.Reply {
	result, err := l.propose(ctx, c)
	if err != nil {
		return l.failure(err)
	}
	v, ok := result.(cell.Verdict)
	if !ok {
		return &cellapi.Reply{Unknown: "the state answered without a verdict"}
	}
	return &cellapi.Reply{Verdict: v}
}

// failure tells a command that was certainly not committed from one that may be.
func (l *Leader) failure(err error) *cellapi.Reply {
	var notLeader *port.NotLeaderError
	if errors.As(err, &notLeader) {
		return l.notLeader()
	}
	if errors.Is(err, replica.ErrOverloaded) || errors.Is(err, context.DeadlineExceeded) && !unknown(err) {
		return &cellapi.Reply{Refused: err.Error()}
	}
	return &cellapi.Reply{Unknown: err.Error()}
}

func unknown(err error) bool {
	var outcome *replica.OutcomeUnknownError
	return errors.As(err, &outcome)
}

func (l *Leader) submit(ctx context.Context, c *cell.Submit) (r *cellapi.Reply, committed bool) {
	var verdict cell.Verdict
	known := false
	l.Store.View(func(v *cell.View) {
		if verdict = v.Authorize(&c.Request); verdict == cell.Accepted {
			_, s := v.Status(&c.Request)
			known = s == cell.Accepted
		}
	})
	if known || verdict != cell.Accepted {
		l.Logger.Info("submission answered from the state", logging.Step("submit"), logging.Job(jobID(c.Path)), "host", c.Host, "path", c.Path, "known", known, "verdict", verdict.String(), "configuration", l.version())
		return &cellapi.Reply{Verdict: verdict}, false
	}
	r = l.commit(ctx, &cell.Command{Submit: c})
	l.Logger.Info("job submitted", logging.Step("submit"), logging.Job(jobID(c.Path)), "path", c.Path, "steps", len(c.Job.Steps), "verdict", r.Verdict.String(), "configuration", l.version(), "unknown", r.Unknown)
	return r, true
}

// jobID returns the id in the path of a request.
func jobID(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

func (l *Leader) status(r *cell.Request) *cellapi.Reply {
	reply := &cellapi.Reply{}
	l.Store.View(func(v *cell.View) {
		if v.IsQueue(r) {
			var n int
			n, reply.Verdict = v.Pending(r)
			reply.Pending = &n
			return
		}
		reply.Status, reply.Verdict = v.Status(r)
	})
	if reply.Verdict != cell.Accepted {
		l.Logger.Info("question refused", logging.Step("status"), logging.Job(jobID(r.Path)), "host", r.Host, "path", r.Path, "verdict", reply.Verdict.String(), "configuration", l.version())
	}
	return reply
}

func (l *Leader) configure(ctx context.Context, c *cell.Configuration) (r *cellapi.Reply, committed bool) {
	if err := c.Validate(); err != nil {
		l.Logger.Info("configuration refused", logging.Step("configure"), "version", c.Version, logging.Error(err))
		return &cellapi.Reply{Verdict: cell.Invalid}, true
	}
	held := l.version()
	if c.Version <= held {
		l.Logger.Info("configuration overtaken", logging.Step("configure"), "version", c.Version, "held", held)
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	}
	r = l.commit(ctx, &cell.Command{Configure: c})
	l.Logger.Info("configuration put", logging.Step("configure"), "version", c.Version, "held", held, "verdict", r.Verdict.String(), "unknown", r.Unknown)
	return r, true
}

func (l *Leader) read() *cellapi.Reply {
	reply := &cellapi.Reply{Verdict: cell.NoConfiguration}
	l.Store.View(func(v *cell.View) {
		if c := v.Configuration(); c != nil {
			reply.Verdict, reply.Source = cell.Accepted, c.Source
		}
	})
	return reply
}

func (l *Leader) waveState(q *cellapi.ReadWave) *cellapi.Reply {
	reply := &cellapi.Reply{Verdict: cell.NoWave}
	l.Store.View(func(v *cell.View) {
		if w := v.Wave(q.Number); w != nil {
			reply.Verdict, reply.Complete = cell.Accepted, w.Complete()
		}
	})
	return reply
}

// report takes in what a worker says of itself; what changes its record is
// committed before it is acknowledged.
func (t *term) report(ctx context.Context, r *cellapi.Report) (reply *cellapi.Reply, committed bool) {
	changed, foreign := true, false
	t.l.Store.View(func(v *cell.View) {
		w := v.Worker(r.ID)
		switch {
		case r.Deregistered:
			changed = w != nil && complete(&r.Register, w)
		case w != nil:
			changed = differs(w, &r.Register)
		default:
			foreign = v.Configuration() != nil && !v.HasService(r.Service)
		}
	})
	if foreign {
		// It is not a worker of this cell, so it must not end the life of one
		// that has the same address.
		t.l.Logger.Warn("report ignored", logging.Step("register"), logging.Peer(r.ID), "reason", "no such service", "service", r.Service, "address", r.Address)
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	}
	t.heard(r)
	if !changed {
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	}
	if _, err := t.l.propose(ctx, &cell.Command{Register: &r.Register}); err != nil {
		return t.l.failure(err), true
	}
	t.l.Logger.Info("worker registered", logging.Step("register"), logging.Peer(r.ID), "address", r.Address, "born", r.Born, "draining", r.Draining, "left", r.Deregistered)
	return &cellapi.Reply{Verdict: cell.Accepted}, true
}

// complete fills in what a worker that leaves does not repeat. It returns false
// if the report is not about the life that is known.
func complete(r *cell.Register, w *cell.Worker) bool {
	if w.Gone || r.Born != 0 && r.Born != w.Born {
		return false
	}
	*r = cell.Register{
		ID: w.ID, Born: w.Born, Address: w.Address, DataCentre: w.DataCentre, Service: w.Service,
		Capacity: w.Capacity, Labels: w.Labels, Rack: w.Rack, Draining: true, Deregistered: true,
	}
	return true
}

// differs reports whether a report would change the worker's record.
func differs(w *cell.Worker, r *cell.Register) bool {
	if r.Born < w.Born || r.Born == w.Born && w.Gone {
		return false
	}
	return w.Born != r.Born || w.Address != r.Address || w.Service != r.Service || w.DataCentre != r.DataCentre ||
		w.Capacity != r.Capacity || !slices.Equal(w.Labels, r.Labels) || w.Rack != r.Rack || r.Draining && !w.Draining || r.Deregistered
}

// forgetEnded drops jobs that ended long ago, until the term is over.
func (t *term) forgetEnded() {
	seen := map[string]time.Duration{}
	for t.pause(t.l.Bounds.EndedJobRetention / 8) {
		now := t.l.Clock.Now()
		var old []string
		t.l.Store.View(func(v *cell.View) {
			for id, j := range v.Jobs() {
				if j.State == cell.Active {
					continue
				}
				at, known := seen[id]
				if !known {
					seen[id] = now
				} else if now-at > t.l.Bounds.EndedJobRetention {
					old = append(old, id)
				}
			}
		})
		if len(old) == 0 {
			continue
		}
		if _, err := t.l.propose(t.ctx, &cell.Command{DeleteJobs: &cell.DeleteJobs{Jobs: old}}); err != nil {
			continue // tried again in the next round
		}
		for _, id := range old {
			delete(seen, id)
		}
	}
}

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
	if c.AnnounceLeader != nil {
		l.OnLeader(c.AnnounceLeader)
		return &cellapi.Reply{Verdict: cell.Accepted}
	}
	t := l.currentTerm()
	since, leads := l.Log.Lease()
	if t == nil || !leads {
		return l.notLeader()
	}
	r, committed := l.answer(ctx, t, c)
	// A reply from the state is valid only if the lease was held without a break.
	if s, still := l.Log.Lease(); (!still || s != since) && !committed {
		return l.notLeader()
	}
	r.Members = l.Members()
	r.Public = l.PublicAddress
	return r
}

// notLeader returns the reply of a process that does not lead, with the address of
// the leader if another process is known to lead.
func (l *Leader) notLeader() *cellapi.Reply {
	_, address := l.Log.Leader()
	if address == "" {
		address = l.AnnouncedLeader() // the process may be no member of the group
	}
	if address == l.PeerAddress {
		address = ""
	}
	return &cellapi.Reply{NotLeader: true, Leader: address}
}

// answer handles a call. It also returns whether the reply rests on a commit, so
// that it is valid whoever leads now; other replies are valid only while the lease
// is held.
func (l *Leader) answer(ctx context.Context, t *term, c *cellapi.Call) (r *cellapi.Reply, committed bool) {
	switch {
	case c.Submit != nil:
		return l.submit(ctx, t, c.Submit)
	case c.Status != nil:
		return l.status(t, c.Status), false
	case c.Cancel != nil:
		r := l.commit(ctx, t, &cell.Command{Cancel: c.Cancel}, nil)
		l.Logger.Info("job cancelled", logging.Step("cancel"), logging.Job(jobID(c.Cancel.Path)), "verdict", r.Verdict.String(), "configuration", l.configurationVersion(), "unknown", r.Unknown)
		return r, true
	case c.Configure != nil:
		return l.configure(ctx, t, c.Configure)
	case c.ReadConfiguration != nil:
		return l.readConfiguration(), false
	case c.Report != nil:
		return t.processReport(ctx, c.Report)
	case c.StartWave != nil:
		order := *c.StartWave
		order.AcceptedMS = t.wall.unixMS(l.Clock.Now())
		r := l.commit(ctx, t, &cell.Command{StartWave: &order}, nil)
		l.Logger.Info("wave of upkeep", logging.Step("start wave"), "wave", c.StartWave.Number, "machines", len(c.StartWave.Machines), "bound", c.StartWave.MaxDown,
			"duration_ms", c.StartWave.DurationMS, "verdict", r.Verdict.String(), "unknown", r.Unknown)
		return r, true
	case c.Evacuate != nil:
		r := l.commit(ctx, t, &cell.Command{Evacuate: c.Evacuate}, nil)
		l.Logger.Info("evacuation", logging.Step("evacuate"), "data_centre", c.Evacuate.DataCentre, "active", c.Evacuate.Active, "verdict", r.Verdict.String(), "unknown", r.Unknown)
		return r, true
	case c.ReadWave != nil:
		return l.waveState(c.ReadWave), false
	case c.AnnounceAdviceCaller != nil:
		t.recordAnnouncement(c.AnnounceAdviceCaller.Peer, c.AnnounceAdviceCaller.UnixMS)
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	case c.AnnounceReplica != nil:
		if refused := l.refuseReplica(c.AnnounceReplica); refused != nil {
			return refused, true
		}
		l.OnJoin(c.AnnounceReplica)
		t.recordAnnouncement(c.AnnounceReplica.Peer, c.AnnounceReplica.UnixMS)
		return &cellapi.Reply{Verdict: cell.Accepted, AdviceCallers: t.advice.availableCallers(l.Clock.Now())}, false
	}
	return &cellapi.Reply{Refused: "the call is empty"}, true
}

// recordAnnouncement records that a control process is alive, and its wall clock.
func (t *term) recordAnnouncement(peer string, unixMS int64) {
	now := t.leader.Clock.Now()
	t.advice.announce(peer, now)
	t.wall.observe(peer, unixMS, now)
}

// configurationVersion returns the version of the configuration in force, 0 if
// there is none.
func (l *Leader) configurationVersion() int64 {
	var version int64
	l.Store.View(func(v *cell.View) {
		if c := v.Configuration(); c != nil {
			version = c.Version
		}
	})
	return version
}

// commit proposes a command whose result is a verdict. done is that of term.commitOnce.
func (l *Leader) commit(ctx context.Context, t *term, c *cell.Command, done func() (result any, applied bool)) *cellapi.Reply {
	result, err := t.commitOnce(ctx, c, done)
	if err != nil {
		return l.failure(err)
	}
	v, ok := result.(cell.Verdict)
	if !ok {
		return &cellapi.Reply{Unknown: "the state answered without a verdict"}
	}
	return &cellapi.Reply{Verdict: v}
}

// failure returns the reply for a failed proposal. It distinguishes a command that
// was certainly not committed from one that may have been.
func (l *Leader) failure(err error) *cellapi.Reply {
	var notLeader *port.NotLeaderError
	if errors.As(err, &notLeader) {
		return l.notLeader()
	}
	if errors.Is(err, replica.ErrOverloaded) || errors.Is(err, context.DeadlineExceeded) && !isOutcomeUnknown(err) {
		return &cellapi.Reply{Refused: err.Error()}
	}
	return &cellapi.Reply{Unknown: err.Error()}
}

// isOutcomeUnknown reports whether the command may have been committed.
func isOutcomeUnknown(err error) bool {
	var outcome *replica.OutcomeUnknownError
	return errors.As(err, &outcome)
}

// submit commits a new job, unless the state shows that the job is known or the
// request is not allowed.
func (l *Leader) submit(ctx context.Context, t *term, c *cell.Submit) (r *cellapi.Reply, committed bool) {
	var verdict cell.Verdict
	known, exists := false, false
	l.Store.View(func(v *cell.View) {
		exists = v.Job(jobID(c.Path)) != nil
		if verdict = v.Authorize(&c.Request); verdict == cell.Accepted {
			verdict, known = submissionVerdict(v, &c.Request)
		}
	})
	if known || verdict != cell.Accepted {
		l.Logger.Info("submission answered from the state", logging.Step("submit"), logging.Job(jobID(c.Path)), "host", c.Host, "path", c.Path, "known", known, "exists", exists, "verdict", verdict.String(), "configuration", l.configurationVersion())
		return l.submissionReply(verdict), false
	}
	var refused *cellapi.Reply
	accepted := *c
	accepted.AcceptedMS = t.wall.unixMS(l.Clock.Now())
	r = l.commit(ctx, t, &cell.Command{Submit: &accepted}, func() (any, bool) {
		l.Store.View(func(v *cell.View) { verdict, known = submissionVerdict(v, &c.Request) })
		if known || verdict != cell.Accepted {
			return verdict, true
		}
		// No earlier submission of the job is being committed, so a refusal is true.
		refused = t.load.admit(c)
		return verdict, refused != nil
	})
	if refused != nil {
		return refused, false
	}
	if r.Verdict == cell.Withdrawn {
		r = l.submissionReply(cell.Withdrawn)
	}
	l.Logger.Info("job submitted", logging.Step("submit"), logging.Job(jobID(c.Path)), "path", c.Path, "steps", len(c.Job.Steps), "verdict", r.Verdict.String(), "configuration", l.configurationVersion(), "unknown", r.Unknown)
	return r, true
}

// submissionVerdict returns the verdict on an authorized submission and whether the job is
// known already.
func submissionVerdict(v *cell.View, r *cell.Request) (verdict cell.Verdict, known bool) {
	if _, status := v.Status(r); status == cell.Accepted {
		return cell.Accepted, true
	}
	switch {
	case v.Withdrawn(r):
		return cell.Withdrawn, false
	case v.IsTaken(r):
		return cell.IDTaken, false
	}
	return cell.Accepted, false
}

// submissionReply returns the reply to a submission that is answered from the state.
func (l *Leader) submissionReply(verdict cell.Verdict) *cellapi.Reply {
	r := &cellapi.Reply{Verdict: verdict}
	if verdict == cell.Withdrawn {
		l.metrics.withdrawnSubmissions.Inc(1)
		r.RetryAfterMS = (l.Bounds.EndedJobRetention + 2*l.Bounds.EndedJobRetention/retentionChecks).Milliseconds()
	}
	return r
}

// jobID returns the last element of the path of a request, which is the job's ID.
func jobID(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// status answers a query for the state of a job, or for the number of pending jobs
// if the path is that of a queue.
func (l *Leader) status(t *term, r *cell.Request) *cellapi.Reply {
	reply := &cellapi.Reply{}
	isQueue := false
	l.Store.View(func(v *cell.View) { isQueue = v.IsQueue(r) })
	var running map[string]bool
	if isQueue {
		running = t.runningJobs()
	}
	l.Store.View(func(v *cell.View) {
		if isQueue {
			var n int
			n, reply.Verdict = v.Pending(r, running)
			reply.Pending = &n
			return
		}
		reply.Status, reply.Verdict = v.Status(r)
	})
	if reply.Verdict != cell.Accepted {
		team, owner := l.teamAndOwner(r)
		l.Logger.Info("question refused", logging.Step("status"), logging.Job(jobID(r.Path)), "host", r.Host, "path", r.Path, "team", team, "owner", owner, "verdict", reply.Verdict.String(), "configuration", l.configurationVersion())
	}
	return reply
}

// teamAndOwner returns the team that sent a request and the team that the job with its ID belongs
// to, each empty if there is none.
func (l *Leader) teamAndOwner(r *cell.Request) (team, owner string) {
	l.Store.View(func(v *cell.View) {
		_, team = v.Route(r)
		if j := v.Job(jobID(r.Path)); j != nil {
			owner = j.Team
		}
	})
	return team, owner
}

// configure commits a configuration, unless it is invalid or not newer than the
// one in force.
func (l *Leader) configure(ctx context.Context, t *term, c *cell.Configuration) (r *cellapi.Reply, committed bool) {
	if err := c.Validate(); err != nil {
		l.Logger.Info("configuration refused", logging.Step("configure"), "version", c.Version, logging.Error(err))
		return &cellapi.Reply{Verdict: cell.Invalid}, true
	}
	current := l.configurationVersion()
	if c.Version <= current {
		l.Logger.Info("configuration is not newer than the one in force", logging.Step("configure"), "version", c.Version, "held", current)
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	}
	r = l.commit(ctx, t, &cell.Command{Configure: c}, nil)
	l.Logger.Info("configuration put", logging.Step("configure"), "version", c.Version, "held", current, "verdict", r.Verdict.String(), "unknown", r.Unknown)
	return r, true
}

// readConfiguration returns the configuration in force.
func (l *Leader) readConfiguration() *cellapi.Reply {
	reply := &cellapi.Reply{Verdict: cell.NoConfiguration}
	l.Store.View(func(v *cell.View) {
		if c := v.Configuration(); c != nil {
			reply.Verdict, reply.Source = cell.Accepted, c.Source
		}
	})
	return reply
}

// waveState reports whether an upkeep wave is complete.
func (l *Leader) waveState(q *cellapi.ReadWave) *cellapi.Reply {
	reply := &cellapi.Reply{Verdict: cell.NoWave}
	l.Store.View(func(v *cell.View) {
		if w := v.Wave(q.Number); w != nil {
			reply.Verdict, reply.Complete = cell.Accepted, w.Complete()
		}
	})
	return reply
}

// processReport processes a worker's report. A report that changes the worker's
// record is committed before it is acknowledged.
func (t *term) processReport(ctx context.Context, r *cellapi.Report) (reply *cellapi.Reply, committed bool) {
	arrived := t.leader.Clock.Now()
	if r.Deregistered {
		return t.processDeparture(ctx, r.ID, r.Born)
	}
	r.Number = r.Sequence
	changed, unknownService := true, false
	t.leader.Store.View(func(v *cell.View) {
		if w := v.Worker(r.ID); w != nil {
			changed = changesRecord(w, &r.Register)
			return
		}
		unknownService = v.Configuration() != nil && !v.HasService(r.Service)
	})
	if unknownService {
		// Not a worker of this cell: registering it would end the incarnation of a
		// worker of this cell that has the same address.
		t.leader.Logger.Warn("report ignored", logging.Step("register"), logging.Peer(r.ID), "reason", "no such service", "service", r.Service, "address", r.Address)
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	}
	if inOrder := t.observeReport(r); !changed || !inOrder {
		if inOrder {
			t.confirmRecord(r, arrived)
			t.observeCold(r, arrived)
		}
		return &cellapi.Reply{Verdict: cell.Accepted}, false
	}
	earlier := t.earlierIncarnation(&r.Register)
	r.Started, r.Proven, r.CountsLives = t.startedBefore(&r.Register), t.replaceIncarnation(&r.Register), true
	result, err := t.commitOnce(ctx, &cell.Command{Register: &r.Register}, nil)
	if err != nil {
		return t.leader.failure(err), true
	}
	t.confirmRecord(r, arrived)
	t.observeCold(r, arrived)
	t.logCrashes(result)
	t.leader.Logger.Info("worker registered", logging.Step("register"), logging.Peer(r.ID), "address", r.Address, "born", r.Born, "draining", r.Draining, "clock_ms", r.ClockMS,
		"earlier_born", earlier.born, "unproven_starts", earlier.unprovenStarts, "lease_unproven_ms", earlier.leaseUnproven.Milliseconds())
	return &cellapi.Reply{Verdict: cell.Accepted}, true
}

// changesRecord reports whether a report would change the worker's record.
func changesRecord(w *cell.Worker, r *cell.Register) bool {
	if r.Born < w.Born || r.Born == w.Born && w.Gone || w.IsLate(r) {
		return false
	}
	return w.Born != r.Born || w.Address != r.Address || w.Service != r.Service || w.DataCentre != r.DataCentre ||
		w.Capacity != r.Capacity || !slices.Equal(w.Labels, r.Labels) || w.Rack != r.Rack || r.Draining && !w.Draining
}

// retentionChecks is how often in EndedJobRetention the state is searched for what it need
// not keep any longer.
const retentionChecks = 8

// forgetEndedJobs removes jobs from the state EndedJobRetention after their end, and
// withdrawals as long after the cancellation, until the term ends.
func (t *term) forgetEndedJobs() {
	seen := map[string]time.Duration{}
	var withdrawals withdrawalAges
	for t.pause(t.leader.Bounds.EndedJobRetention / retentionChecks) {
		now := t.leader.Clock.Now()
		var old []string
		t.leader.Store.View(func(v *cell.View) {
			for id, j := range v.Jobs() {
				if j.State == cell.Active {
					continue
				}
				at, known := seen[id]
				if !known {
					seen[id] = now
				} else if now-at > t.leader.Bounds.EndedJobRetention {
					old = append(old, id)
				}
			}
			count, newest := v.Withdrawals()
			withdrawals.observe(newest, now)
			t.leader.metrics.withdrawals.Update(float64(count))
		})
		if last := withdrawals.expired(now - t.leader.Bounds.EndedJobRetention); last > 0 {
			// Without the commit they are dropped together with later ones.
			_, _ = t.leader.propose(t.ctx, &cell.Command{ForgetWithdrawals: &cell.ForgetWithdrawals{LastIndex: last}})
		}
		if len(old) == 0 {
			continue
		}
		if _, err := t.leader.propose(t.ctx, &cell.Command{DeleteJobs: &cell.DeleteJobs{Jobs: old}}); err != nil {
			continue // retried in the next round
		}
		for _, id := range old {
			delete(seen, id)
		}
	}
}

// withdrawalAges remembers when the newest withdrawals were first seen. The zero value is
// ready to use.
type withdrawalAges []withdrawalAge

type withdrawalAge struct {
	lastIndex uint64
	at        time.Duration
}

// observe records the log index of the newest withdrawal at a time, 0 if there is none.
func (a *withdrawalAges) observe(newest uint64, now time.Duration) {
	if n := len(*a); newest > 0 && (n == 0 || (*a)[n-1].lastIndex < newest) {
		*a = append(*a, withdrawalAge{newest, now})
	}
}

// expired returns the log index up to which the withdrawals were seen before a time, and
// forgets it. It is 0 if there are none.
func (a *withdrawalAges) expired(before time.Duration) (lastIndex uint64) {
	for len(*a) > 0 && (*a)[0].at < before {
		lastIndex = (*a)[0].lastIndex
		*a = (*a)[1:]
	}
	return lastIndex
}

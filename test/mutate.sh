#!/usr/bin/env bash
# Tests the tests: applies one mutation at a time to a copy of the sources, each of
# which disables one mechanism, and runs the test that guards that mechanism. The
# test must fail. Prints a table; the exit status is 1 if a test passes, or if a
# mutation does not apply or build. An argument selects the mutations whose names
# contain it.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
select=${1:-}
bad=0

# m NAME PACKAGE TEST FILE OLD NEW: replaces the first occurrence of the text OLD in
# FILE by NEW and runs the tests of PACKAGE that match the regular expression TEST.
m() {
  [[ $1 == *"$select"* ]] || return 0
  rm -rf "${copy:?}"/*
  git ls-files -z | xargs -0 tar cf - | tar xf - -C "$copy"
  cd "$copy" || exit 1
  local outcome
  if ! OLD=$5 NEW=$6 python3 -c '
import os, sys
p = sys.argv[1]; s = open(p).read(); old = os.environ["OLD"]
sys.exit(1) if old not in s else open(p, "w").write(s.replace(old, os.environ["NEW"], 1))' "$4"; then
    outcome="DOES NOT APPLY"; bad=1
  elif ! go vet "./$2" >/dev/null 2>&1; then
    outcome="DOES NOT BUILD"; bad=1
  elif go test "./$2" -run "$3" -count=1 ${flags[$2]:-} >out.txt 2>&1; then
    outcome="PASSES"; bad=1
  else
    outcome="found failing"
  fi
  printf '%-24s %-18s %-32s %s\n' "$1" "$2" "$3" "$outcome"
  cd "$root" || exit 1
}

declare -A flags
for p in internal/state internal/fleet internal/quota internal/cell; do flags[$p]="-rapid.nofailfile -rapid.shrinktime=1s"; done
S=internal/state F=internal/fleet Q=internal/quota L=internal/lease
request=$S/request.go allotment=$F/allotment.go
drift='length + length*MaxClockDriftPercent/100 + time.Millisecond'

m lease-drift $S TaskLeasesLost $L/doc.go "$drift" length
m lease-wait-out $S TaskLeasesLost $L/table.go 'now < max(g.expires, since+AddDriftMargin(t.length))' 'now < g.expires'
m lease-ending $L EndedLease $L/table.go '	g.ending = true' ''
m lease-from-receipt $S TaskLeasesLost $S/lease_model_test.go 'm.expires = max(m.expires, sentAt+lease.WorkerDuration)' 'm.expires = max(m.expires, local(w.now, m.rate)+lease.WorkerDuration)'
m lease-own-reply $S TaskLeasesLost $S/lease_model_test.go 'local(w.now, m.rate) >= sentAt+lease.WorkerDuration' 'local(w.now, m.rate) >= m.expires'
m lease-retry-lost $S 'TaskLeases$' $S/attempt.go '(j.Spec.Idempotent && e.outcome != structs.OutcomeOK)' '(e.outcome != structs.OutcomeOK)'
m lease-charge $S 'TaskLeases$' $S/worker.go '		w.Committed = w.Committed.Add(size)' ''
m lease-sequence $S 'TaskLeases$' $S/worker.go 'c.Sequence <= w.Sequence {' 'false {'
m lease-capacity $S 'TaskLeases$' $S/plan.go 'if !j.Spec.Size.Fits(w.Free()) {' 'if false {'
m lease-epoch $S LoseWorkerOfEarlierLeadership $S/worker.go 'if epoch != s.data.Epoch {' 'if false {'
m lease-registration $S LateDuplicateOfLoseWorker $S/worker.go 'if c.Registration != w.Registration {' 'if false {'
m lease-end-done $L EndedLease $L/table.go 'g != nil && g.ending' 'g != nil'
m lease-leadership $L NewLeadership $L/table.go 'since < t.since' 'false'
m leaving-sequence $S OlderHeartbeatKeeps $S/worker.go 'c.Sequence <= w.Sequence {' 'false {'
m charge-discharge $S IsCharged $S/attempt.go '			discharge(w, e.AttemptId)' ''
m late-answer $S LateAnswer $S/attempt.go '		s.recordLateEnd(e)' ''
m late-other $S LateAnswer $S/attempt.go 'task.LostAttempt != e.AttemptId ||' 'task.LostAttempt == 0 ||'
m stopped-by-worker $S StoppedByWorker $S/attempt.go '	case interrupted && !mayRetry:' '	case false:'
m back-off $S RetriesBackOff $S/attempt.go 'backOff(a).Milliseconds()' '0*backOff(a).Milliseconds()'
m retry-bound $S RetriesBackOff $S/attempt.go 'return task.Attempts >= maxAttempts' 'return task.Attempts > 1000*maxAttempts'
m slots-replaces $S DelayedAssignment $S/instance.go 'if in.Assignment != c.Replaces {' 'if false {'
m slots-epoch $S DelayedAssignment $S/worker.go 'if epoch != s.data.Epoch {' 'if false {'
m request-unknown $S RequestsRun $request 'r.Outcome == structs.OutcomeNotRun && r.Owner != c.Owner {' '(r.Outcome == structs.OutcomeNotRun || r.Outcome == structs.OutcomeUnknown) && r.Owner != c.Owner {'
m request-owner $S RequestsRun $request '	case r.Owner != c.Owner:' '	case r.Owner != c.Owner && outcome != structs.OutcomeNotRun:'
m request-pending $S RequestsRun $request 'r.Outcome == structs.OutcomeNone && r.Owner == c.Owner {' 'r.Outcome == structs.OutcomeNone {'
m request-retention $S RequestsRun $S/expiry.go '	return ms + IDRetention.Milliseconds() + 1' '	return ms + IDRetention.Milliseconds()/2'
m request-expiry $S RequestsRun $request 'if ms < s.data.LogTime-IDRetention.Milliseconds() {' 'if false {'
m request-forget $S RequestIDRefusals $S/expiry.go '		delete(s.data.Requests, id)' ''
m request-team $S RequestIDRefusals $request 'r.Digest != c.Digest || r.Team != c.Team || r.Service != c.Service' 'r.Digest != c.Digest'
m request-canonical $S RequestIDRefusals $request 'if u.String() != text || (' 'if false && ('
m request-withdraw $S Withdrawn $request '		return s.withdrawRequest(c)' '		return &Result{}'
m config-grace $F TestConfiguration $F/grace.go '	return time.Duration(longest) * time.Millisecond' '	return time.Duration(0*longest) * time.Millisecond'
m config-latest-grace $F TestConfiguration $F/grace.go 'if i == len(steps)-1 || steps[i+1].Index > from {' 'if i == len(steps)-1 {'
m config-wait-out $F TestConfiguration $L/config.go 'if now < since+AddDriftMargin(ConfigDuration+grace(0)) {' 'if false {'
m config-drift $F TestConfiguration $L/doc.go "$drift" length
m config-replaces $F TestConfiguration $F/store.go 'if c.Replaces != current {' 'if c.Replaces > current {'
m config-operation $F TestConfiguration $F/store.go 'if again := s.resentResult(&c); again != nil {' 'if again := s.resentResult(&c); again != nil && false {'
m config-snapshot $F TestConfiguration $F/snapshot.go '		f.Graces = s.graceSteps()' ''
m config-digest $F OperationIDs $F/operation.go 'if first.digest != operationDigest(c) {' 'if false {'
m config-revert $F CopyNever $F/read.go 'if full != nil && full.Index > s.index {' 'if full != nil {'
m allotment-take-twice $Q TransfersKeep $S/allotment.go '	if c.Grant <= t.Grant {
		return &Result{Duplicate: true}
	}
	if c.Grant != t.Grant+1 {' '	if false {'
m allotment-return-twice $Q TransfersKeep $allotment '	if c.Transfer <= a.Transfer {
		return &statev1.FleetResult{Duplicate: true}, nil
	}
	if c.Transfer != a.Transfer+1 {' '	if false {'
m allotment-shed $Q TransfersKeep $Q/reconcile.go '	if excess.IsZero() {' '	if true {'
m allotment-prune $Q TransfersKeep $allotment '	if open >= len(a.Grants) {' '	if true {'
m allotment-enforced $Q TransfersKeep $S/plan.go 'if !t.Running.Add(j.Spec.Size).Fits(t.Allotment) {' 'if t.Running.MilliCPU < 0 {'
m allotment-return-early $S TransferIsReturned $S/allotment.go 't == nil || !t.Running.Fits(t.Allotment)' 't == nil'
m allotment-pool $F GrantsStay $allotment 'if !s.poolCovers(c.Team, amount) {' 'if false {'
m allotment-grant-twice $F GrantsStay $allotment '	if c.Grant <= a.Grant {' '	if false {'
m shed-order $Q ShedLosesLeast $Q/select.go 'cmp.Compare(lossRank(&a.Spec), lossRank(&b.Spec))' '0'
m snapshot-queue $S SnapshotRoundTrip $S/snapshot.go '	s.rebuildDueQueue()' ''
m snapshot-sums $S SnapshotRoundTrip $S/attempt.go '	t.RunningTasks--' ''
C=internal/cell D=internal/dispatch
m cell-capacity $C CellModel $C/attempt.go 'step.Claim().Fits(w.Free())' 'true'
m cell-limit $C CellModel $C/attempt.go 'step.Size.Fits(s.headroom(j.Team))' 'true'
m cell-order $C CellModel $C/attempt.go '!j.dependenciesDone(p.Task.StepKey)' 'false'
m cell-one-run $C CellModel $C/attempt.go 'task.Done || task.InFlight ||' 'task.Done ||'
m cell-gang-failures $C CellModel $C/attempt.go 'if e.Run != occurrence.FailedRun {' 'if true {'
m cell-gang-occurrence $C GangOccurrence $C/attempt.go 'step.Daemon || occurrence.Done == len(occurrence.Tasks)' 'step.Daemon'
m cell-budget $C MaxFailuresLowered $C/request.go '	s.failExhaustedJobs()' ''
m cell-refusal $D NoRefusalAfterLease $D/serve.go '	r, committed := l.answer(ctx, t, c)' '	r, committed := l.answer(ctx, t, c)
	committed = true'
m cell-long-calls $D LongCalls $D/advice.go 'if cost >= longCallCost {' 'if false {'
m cell-early-lapse $D SilentWorker $D/lease.go 'now > leaseEnd && s.t.leads()' 's.t.leads()'
m cell-brief $D SilentWorker $D/lease.go 'lease, wait = s.t.shortLease, shortRenewalWait' ''
m cell-evidence $D FaultyWorkerIsFound $D/fault_detector.go 'if e.logLikelihoodRatio >= faultThreshold {' 'if false {'
m cell-wave-bound $D Wave $D/upkeep.go 'list[:max(0, min(room, len(list)))]' 'list'
m cell-wave-cordon $D Wave $D/upkeep.go 'u.t.cordon(cordoned)' '_ = cordoned'
m cell-upkeep-done $D UpkeepThatWas $D/upkeep.go '		u.settle(w.Number, id, "its upkeep has begun")' '		u.settle(w.Number, id, "its upkeep has begun")
		u.t.sessionOf(u.machines[id].Worker).expireLease("ordered")'
exit $bad

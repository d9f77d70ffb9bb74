package cellapi

import (
	"strconv"

	"laburnumgrade/internal/cell"
)

// combine returns the reply to a call whose last attempt was answered with r. unknownReason is
// the reason why the outcome of an earlier attempt is not known, empty if that of each is. The
// earlier attempt may have been carried out, and may still be: its command may be committed
// later, or a process that was paused may read it. A rejection of the last attempt is then no
// rejection of the call.
func combine(c *Call, r Reply, unknownReason string) Reply {
	switch {
	case unknownReason != "" && (r.Refused != "" || !c.settledBy(r.Verdict)):
		return Reply{Unknown: unknownReason}
	case r.Refused == "" && !r.Verdict.Valid():
		return Reply{Unknown: "the reply has the verdict " + strconv.Itoa(int(r.Verdict)) + ", which is not known"}
	}
	return r
}

// settledBy reports whether the verdict on one attempt of the call is the result of all its
// attempts, whatever has become of the others.
func (c *Call) settledBy(v cell.Verdict) bool {
	switch {
	case v == cell.Accepted:
		return true // repeating a call that was carried out has no further effect
	case c.Cancel != nil:
		return v == cell.NoJob // an earlier attempt found no job either, or its job is forgotten
	}
	return !c.hasEffect()
}

// hasEffect reports whether the call changes the replicated state.
func (c *Call) hasEffect() bool {
	return c.Submit != nil || c.Cancel != nil || c.Configure != nil || c.Report != nil || c.StartWave != nil || c.Evacuate != nil
}

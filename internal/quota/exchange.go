package quota

import (
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/fleet"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// Reconcile returns the commands by which a data centre group follows the team's
// allotment in the fleet group, of which the caller may have an old copy: grants
// are taken, returned transfers are forgotten, and what exceeds the wanted
// amount is given up. If the limit was lowered, what runs above it is ended.
func Reconcile(store *state.Store, team string, a *statev1.Allotment) []*statev1.DataCentreCommand {
	t := store.Team(team)
	var list []*statev1.DataCentreCommand
	for n := t.Grant + 1; n <= a.Grant; n++ {
		list = append(list, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_TakeAllotment{TakeAllotment: &statev1.TakeAllotment{
			Team: team, Grant: n, Amount: fleet.GrantAmount(a, n),
		}}})
	}
	if t.FirstGiven > 0 && t.FirstGiven <= a.Transfer {
		list = append(list, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_ConfirmReturn{ConfirmReturn: &statev1.ConfirmReturn{
			Team: team, Transfer: a.Transfer,
		}}})
	}
	// A wanted amount is compared only once everything granted is held here and
	// everything given is known in the fleet group; until then it is old.
	if a.Wanted == nil || t.Grant != a.Grant || t.Transfer != a.Transfer {
		return append(list, shed(store, &t)...)
	}
	keep := structs.ResourcesFromProto(a.Wanted)
	if !a.Shed {
		keep = keep.Max(t.Running)
	}
	if surplus := t.Allotment.Sub(keep).Max(structs.Resources{}).Min(t.Allotment); !surplus.IsZero() {
		list = append(list, &statev1.DataCentreCommand{Command: &statev1.DataCentreCommand_GiveAllotment{GiveAllotment: &statev1.GiveAllotment{
			Team: team, Transfer: t.Transfer + 1, Amount: surplus.Proto(),
		}}})
	}
	return append(list, shed(store, &t)...)
}

// shed ends what runs above the allotment, which falls below it only when a
// transfer was given up because the limit was lowered.
func shed(store *state.Store, t *state.Team) []*statev1.DataCentreCommand {
	excess := t.Running.Sub(t.Allotment).Max(structs.Resources{})
	if excess.IsZero() {
		return nil
	}
	attempts := SelectForShedding(store.TeamAttempts(t.Name), excess, "the limit of team "+t.Name+" was lowered")
	if len(attempts) == 0 {
		return nil
	}
	return []*statev1.DataCentreCommand{{Command: &statev1.DataCentreCommand_ShedAttempts{ShedAttempts: &statev1.ShedAttempts{Attempts: attempts}}}}
}

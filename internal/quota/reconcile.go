package quota

import (
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/fleet"
	"laburnumgrade/internal/state"
	"laburnumgrade/internal/structs"
)

// Reconcile returns the commands that bring a team's allotment in a data centre
// group in line with a, the fleet group's record of it, of which the caller may
// have an old copy. They take grants, drop transfers whose return is recorded, and
// start the return of what exceeds the wanted amount. If the limit was lowered,
// they also end what runs above the allotment.
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
	// The wanted amount is out of date until this group has taken every grant and
	// the fleet group has recorded every return.
	if a.Wanted == nil || t.Grant != a.Grant || t.Transfer != a.Transfer {
		return append(list, shedAboveAllotment(store, &t)...)
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
	return append(list, shedAboveAllotment(store, &t)...)
}

// shedAboveAllotment returns a command that ends attempts of a team until the rest
// fits into its allotment. The allotment is lower than what runs only after a
// return because of a lowered limit.
func shedAboveAllotment(store *state.Store, t *state.Team) []*statev1.DataCentreCommand {
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

package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/config"
)

// statusVerb is the verb status.
type statusVerb struct{ app *app }

// Execute implements flags.Commander.
func (v *statusVerb) Execute(rest []string) error { return v.app.run(rest, v.status) }

// status prints groups, teams and the numbers of workers and instances. It exits
// with ExitFailed if a group has no leader, so that scripts can monitor the cluster.
func (v *statusVerb) status() *report {
	answer, problem := sendToOperatorService(v.app, operatorRead(), apiv1connect.OperatorServiceClient.Status, &apiv1.StatusRequest{})
	if problem != nil {
		return problem
	}
	r := &report{Exit: ExitOK, Answer: answer}
	r.Text = fmt.Appendf(nil, "workers %d, instances %d, configuration index %d\n\n", answer.GetWorkers(), answer.GetInstances(), answer.GetConfigIndex())
	r.Text = append(r.Text, groupTable(answer.GetGroups())...)
	r.Text = append(r.Text, '\n')
	r.Text = append(r.Text, teamTable(answer.GetTeams())...)
	for _, group := range answer.GetGroups() {
		if group.GetLeader() == "" {
			r.Exit = ExitFailed
			r.Message = "group " + group.GetGroup() + " has no leader"
			r.Next = "lgctl members; a group without a quorum of its voters cannot elect a leader (docs/OPERATIONS.md, lost quorum)"
		}
	}
	return r
}

// groupTable returns one line for each group.
func groupTable(groups []*apiv1.GroupStatus) []byte {
	return table("GROUP\tLEADER\tTERM\tCOMMIT\tVOTERS\tLEARNERS", func(w *tabwriter.Writer) {
		for _, g := range groups {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", g.GetGroup(), orDash(g.GetLeader()), g.GetTerm(), g.GetCommit(),
				orDash(strings.Join(g.GetVoters(), ",")), orDash(strings.Join(g.GetLearners(), ",")))
		}
	})
}

// teamTable returns one line for each team.
func teamTable(teams []*apiv1.TeamStatus) []byte {
	return table("TEAM\tRUNNING\tLIMIT\tRUNNING-TASKS\tWAITING-TASKS", func(w *tabwriter.Writer) {
		for _, t := range teams {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", t.GetTeam(), resourcesText(t.GetRunning()), resourcesText(t.GetLimit()), t.GetRunningTasks(), t.GetWaitingTasks())
		}
	})
}

// resourcesText returns an amount of resources as one field of a table.
func resourcesText(r *apiv1.Resources) string {
	return fmt.Sprintf("%s cores/%s/%d acc", config.FormatCPU(r.GetMilliCpu()), config.FormatBytes(r.GetMemoryBytes()), r.GetAccelerators())
}

// orDash returns the text, or a dash if it is empty, so that every row of a table
// has all columns.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// membersVerb is the verb members.
type membersVerb struct{ app *app }

// Execute implements flags.Commander.
func (v *membersVerb) Execute(rest []string) error { return v.app.run(rest, v.members) }

// members prints the system's processes.
func (v *membersVerb) members() *report {
	answer, problem := v.app.members()
	if problem != nil {
		return problem
	}
	text := table("PROCESS\tROLE\tVM\tDATA-CENTRE\tSTATE\tADDRESS\tADMIN\tINCARNATION", func(w *tabwriter.Writer) {
		for _, m := range answer.GetMembers() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", m.GetProcess(), m.GetRole(), m.GetVm(), m.GetDataCentre(),
				orDash(m.GetState()), orDash(m.GetAddress()), orDash(m.GetAdminAddress()), m.GetIncarnation())
		}
	})
	return &report{Exit: ExitOK, Answer: answer, Text: text}
}

// members requests the list of the system's processes.
func (a *app) members() (*apiv1.ListMembersResponse, *report) {
	return sendToOperatorService(a, operatorRead(), apiv1connect.OperatorServiceClient.ListMembers, &apiv1.ListMembersRequest{})
}

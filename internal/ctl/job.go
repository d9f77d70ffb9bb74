package ctl

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

// maxWaitPerRequest is the longest time for which one request may be held by an
// entry.
const maxWaitPerRequest = 20 * time.Second

// jobSubmit is the verb job submit.
type jobSubmit struct {
	app       *app
	Payload   string        `long:"payload" value-name:"FILE" description:"file with the job's input, - for the standard input"`
	Tasks     int32         `long:"tasks" value-name:"N" description:"number of tasks (default: the document's)"`
	Urgent    bool          `long:"urgent" description:"start before other work, preempting what documents allow"`
	Deadline  time.Duration `long:"deadline" value-name:"TIME" description:"longest wait for the start (default: the document's)"`
	JobID     string        `long:"job-id" value-name:"UUIDv7" description:"id of the job, to resend one whose answer was lost (default: a new one)"`
	Wait      time.Duration `long:"wait" value-name:"TIME" description:"wait for the job's end and show its results"`
	Arguments struct {
		Team    string `positional-arg-name:"TEAM"`
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *jobSubmit) Execute(rest []string) error { return v.app.run(rest, v.submit) }

// submit submits a job, and waits for its end if --wait is given.
func (v *jobSubmit) submit() *report {
	id, problem := checkID("--job-id", v.JobID)
	if problem != nil {
		return problem
	}
	if v.Tasks < 0 || v.Deadline < 0 {
		return usage("--tasks and --deadline: found a negative value, allowed 0 or more", "")
	}
	payload, problem := v.app.input(v.Payload)
	if problem != nil {
		return problem
	}
	request := &apiv1.SubmitJobRequest{
		JobId: id, Team: v.Arguments.Team, Service: v.Arguments.Service, Payload: payload,
		Tasks: v.Tasks, Urgent: v.Urgent, DeadlineMs: v.Deadline.Milliseconds(),
	}
	answer, problem := sendToCallerService(v.app, teamChange(id), apiv1connect.CallerServiceClient.SubmitJob, request)
	if problem != nil {
		return problem
	}
	id = answer.GetJobId()
	if v.Wait > 0 {
		return v.app.awaitAccepted(id, v.Wait)
	}
	message := "job accepted in data centre " + answer.GetDataCentre()
	if answer.GetDuplicate() {
		message = "job was accepted before, in data centre " + answer.GetDataCentre()
	}
	return &report{
		Exit: ExitOK, ID: id, Answer: answer, Text: []byte(id + "\n"), Message: message,
		Next: "lgctl job result --wait 1m " + id,
	}
}

// jobArguments are the arguments of verbs that concern one job.
type jobArguments struct {
	ID string `positional-arg-name:"JOB-ID"`
}

// jobStatus is the verb job status.
type jobStatus struct {
	app       *app
	Arguments jobArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *jobStatus) Execute(rest []string) error { return v.app.run(rest, v.status) }

// status prints a job's state. The exit code is ExitOK whatever that state is.
func (v *jobStatus) status() *report {
	request := &apiv1.GetJobRequest{JobId: v.Arguments.ID}
	job, problem := sendToCallerService(v.app, teamRead(), apiv1connect.CallerServiceClient.GetJob, request)
	if problem != nil {
		return problem
	}
	return &report{Exit: ExitOK, ID: job.GetJobId(), Answer: job, Text: jobText(job)}
}

// jobResult is the verb job result.
type jobResult struct {
	app       *app
	Wait      time.Duration `long:"wait" value-name:"TIME" description:"longest wait for the job's end"`
	Arguments jobArguments  `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *jobResult) Execute(rest []string) error {
	return v.app.run(rest, func() *report { return v.app.awaitJob(v.Arguments.ID, v.Wait) })
}

// awaitAccepted waits for the end of a job that has just been accepted. A failure
// to read its state is reported as waiting, because the job remains accepted.
func (a *app) awaitAccepted(id string, wait time.Duration) *report {
	r := a.awaitJob(id, wait)
	if r.Answer != nil {
		return r
	}
	return &report{
		Exit: ExitWaiting, ID: id, Text: []byte(id + "\n"),
		Message: "the job is accepted; its state could not be read: " + r.Message,
		Next:    "lgctl job result --wait 1m " + id,
	}
}

// awaitJob waits for a job's end, at most for wait, and reports its outcome.
func (a *app) awaitJob(id string, wait time.Duration) *report {
	for end := time.Now().Add(wait); ; {
		remaining := min(max(time.Until(end), 0), maxWaitPerRequest)
		options := teamRead()
		options.extraTimeout = remaining
		request := &apiv1.WaitJobRequest{JobId: id, WaitMs: remaining.Milliseconds()}
		job, problem := sendToCallerService(a, options, apiv1connect.CallerServiceClient.WaitJob, request)
		if problem != nil {
			problem.ID = id
			return problem
		}
		if job.GetState() == apiv1.JobState_JOB_STATE_ENDED {
			return endedReport(job)
		}
		if !time.Now().Before(end) {
			return waitingReport(job)
		}
		// Limits the rate of requests if the entry answers before the wait is over.
		time.Sleep(min(changePollInterval, max(time.Until(end), 0)))
	}
}

// endedReport reports a job that has ended.
func endedReport(job *apiv1.Job) *report {
	r := &report{Exit: outcomeExit(job.GetOutcome()), ID: job.GetJobId(), Answer: job, Text: jobText(job)}
	switch job.GetOutcome() {
	case apiv1.Outcome_OUTCOME_OK:
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		r.Message, r.Next = "the job has not run", "see the tasks' details; submit it again with a new id"
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		r.Message = "outcome unknown: a task may have run"
		r.Next = "find out from the work's own records whether it ran before submitting it again with a new id"
	default:
		r.Message = "the job ended as " + outcomeText(job.GetOutcome())
	}
	return r
}

// waitingReport reports a job that has not ended.
func waitingReport(job *apiv1.Job) *report {
	return &report{
		Exit: ExitWaiting, ID: job.GetJobId(), Answer: job, Text: jobText(job),
		Message: "the job has not ended",
		Next:    "lgctl job explain " + job.GetJobId() + ", or lgctl job result --wait 1m " + job.GetJobId(),
	}
}

// jobCancel is the verb job cancel.
type jobCancel struct {
	app       *app
	Arguments jobArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *jobCancel) Execute(rest []string) error { return v.app.run(rest, v.cancel) }

// cancel cancels a job.
func (v *jobCancel) cancel() *report {
	request := &apiv1.CancelJobRequest{JobId: v.Arguments.ID}
	job, problem := sendToCallerService(v.app, teamChange(v.Arguments.ID), apiv1connect.CallerServiceClient.CancelJob, request)
	if problem != nil {
		return problem
	}
	r := &report{Exit: ExitOK, ID: job.GetJobId(), Answer: job, Text: jobText(job)}
	if job.GetState() != apiv1.JobState_JOB_STATE_ENDED {
		r.Exit, r.Message = ExitWaiting, "the cancellation is accepted; running tasks are being stopped"
		r.Next = "lgctl job result --wait 1m " + job.GetJobId()
		return r
	}
	r.Message = "the job has ended as " + outcomeText(job.GetOutcome())
	return r
}

// jobExplain is the verb job explain.
type jobExplain struct {
	app       *app
	Arguments jobArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *jobExplain) Execute(rest []string) error { return v.app.run(rest, v.explain) }

// explain prints a job's state and the reasons for it.
func (v *jobExplain) explain() *report {
	request := &apiv1.ExplainJobRequest{JobId: v.Arguments.ID}
	answer, problem := sendToCallerService(v.app, teamRead(), apiv1connect.CallerServiceClient.ExplainJob, request)
	if problem != nil {
		return problem
	}
	lines := append([]string{"state: " + stateText(answer.GetState())}, answer.GetReasons()...)
	r := &report{Exit: ExitOK, ID: answer.GetJobId(), Answer: answer, Text: []byte(strings.Join(lines, "\n") + "\n")}
	if answer.GetImpossible() {
		r.Exit, r.Message = ExitNotRun, "no worker could ever hold this job"
		r.Next = "lower [size] in the document, or add a larger worker"
	}
	return r
}

// stateText returns a job state in lower case.
func stateText(state apiv1.JobState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "JOB_STATE_"))
}

// outcomeText returns an outcome in lower case, with spaces between words.
func outcomeText(outcome apiv1.Outcome) string {
	name := strings.ToLower(strings.TrimPrefix(outcome.String(), "OUTCOME_"))
	if outcome == apiv1.Outcome_OUTCOME_UNKNOWN {
		return prefixUnknown
	}
	return strings.ReplaceAll(name, "_", " ")
}

// jobText returns a line for the job and one for each task result.
func jobText(job *apiv1.Job) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "job %s of %s/%s in %s: %s", job.GetJobId(), job.GetTeam(), job.GetService(), job.GetDataCentre(), stateText(job.GetState()))
	if job.GetState() == apiv1.JobState_JOB_STATE_ENDED {
		fmt.Fprintf(&out, ", %s", outcomeText(job.GetOutcome()))
	}
	out.WriteByte('\n')
	for _, task := range job.GetResults() {
		fmt.Fprintf(&out, "task %d: %s, %d attempt(s)", task.GetTask(), outcomeText(task.GetOutcome()), task.GetAttempts())
		if task.GetDetail() != "" {
			fmt.Fprintf(&out, ", %s", task.GetDetail())
		}
		if len(task.GetAnswer()) > 0 {
			fmt.Fprintf(&out, ": %s", printable(task.GetAnswer()))
		}
		out.WriteByte('\n')
	}
	return out.Bytes()
}

// printable returns the content as it is if it is printable UTF-8 text, otherwise
// "base64 " and its base64 encoding.
func printable(content []byte) string {
	text := string(content)
	unprintable := func(c rune) bool { return !unicode.IsPrint(c) && c != '\n' && c != '\t' }
	if utf8.ValidString(text) && !strings.ContainsFunc(text, unprintable) {
		return text
	}
	return "base64 " + base64.StdEncoding.EncodeToString(content)
}

package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"

	"laburnumgrade/internal/port"
	"laburnumgrade/internal/timeline"
)

const (
	// maxListBytes bounds the time line of one process. It is the size of the
	// largest time line that the settings allow, 2^20 events, at 256 bytes each.
	maxListBytes = 256 << 20
	// timeFormat is the format of the wall clock part of a stamp.
	timeFormat = "2006-01-02T15:04:05.000Z"
	// htmlFileMode makes the HTML page readable for all users.
	htmlFileMode = 0o644
)

// timelineVerb is the verb timeline.
type timelineVerb struct {
	app     *app
	Admin   []string `long:"admin" value-name:"IP:PORT" description:"admin address of a process; may be given several times (default: those that members lists)"`
	Job     string   `long:"job" value-name:"ID" description:"only events of this job"`
	Task    string   `long:"task" value-name:"N" description:"only events of the task with this number"`
	Request string   `long:"request" value-name:"ID" description:"only events of this request"`
	Team    string   `long:"team" value-name:"NAME" description:"only events of this team"`
	Worker  string   `long:"worker" value-name:"ID" description:"only events of this worker or instance"`
	Kind    []string `long:"kind" value-name:"KIND" description:"only events of this kind; may be given several times"`
	Limit   int      `long:"limit" value-name:"N" description:"only the newest events of each process"`
	HTML    string   `long:"html" value-name:"FILE" description:"also write one self-contained HTML page"`
}

// Execute implements flags.Commander.
func (v *timelineVerb) Execute(rest []string) error { return v.app.run(rest, v.timeline) }

// mergedTimeline is the answer of the verb with --json.
type mergedTimeline struct {
	Events []timeline.Event `json:"events"`
	// Dropped holds the number of overwritten events of each process.
	Dropped map[string]uint64 `json:"dropped"`
	// Missing holds the admin addresses of processes whose time line could not be
	// fetched.
	Missing []string `json:"missing"`
}

// timeline fetches, merges and prints time lines.
func (v *timelineVerb) timeline() *report {
	filter, problem := v.filter()
	if problem != nil {
		return problem
	}
	addresses, problem := v.addresses()
	if problem != nil {
		return problem
	}
	lists, errs := v.fetchAll(addresses, filter)
	answer := mergedTimeline{Events: timeline.Merge(lists...), Dropped: map[string]uint64{}, Missing: []string{}}
	if answer.Events == nil {
		answer.Events = []timeline.Event{}
	}
	var problems []string
	for i, list := range lists {
		if errs[i] != nil {
			answer.Missing = append(answer.Missing, addresses[i])
			problems = append(problems, errs[i].Error())
			continue
		}
		answer.Dropped[list.Process] = list.Dropped
	}
	r := &report{Exit: ExitOK, Answer: answer, Text: eventsText(answer.Events)}
	if len(problems) > 0 {
		r.Message = "no time line from: " + strings.Join(problems, "; ")
		r.Next = "events of these processes are missing above; lgctl members shows their state"
	}
	if len(problems) == len(addresses) {
		r.Exit, r.Next = ExitUnreachable, "check the admin addresses and the network"
		return r
	}
	return v.writePage(r, answer)
}

// writePage writes the HTML page if --html is given.
func (v *timelineVerb) writePage(r *report, answer mergedTimeline) *report {
	if v.HTML == "" {
		return r
	}
	page, err := renderPage(answer)
	if err == nil {
		err = os.WriteFile(v.HTML, page, htmlFileMode)
	}
	if err != nil {
		return usage("HTML page: "+err.Error(), "")
	}
	return r
}

// filter returns the filter that the options describe.
func (v *timelineVerb) filter() (timeline.Filter, *report) {
	f := timeline.Filter{Job: v.Job, Task: v.Task, Request: v.Request, Team: v.Team, Worker: v.Worker, Limit: v.Limit}
	for _, name := range v.Kind {
		kind, err := timeline.ParseKind(name)
		if err != nil {
			return f, usage("--kind: "+err.Error(), "kinds are listed in docs/OPERATIONS.md")
		}
		f.Kinds = append(f.Kinds, kind)
	}
	if v.Limit < 0 {
		return f, usage("--limit: found a negative number, allowed 0 or more", "")
	}
	return f, nil
}

// addresses returns the admin addresses given, or those of all members.
func (v *timelineVerb) addresses() ([]string, *report) {
	if len(v.Admin) > 0 {
		return checkAddresses(v.Admin)
	}
	members, problem := v.app.members()
	if problem != nil {
		return nil, problem
	}
	var addresses []string
	for _, member := range members.GetMembers() {
		if member.GetAdminAddress() != "" {
			addresses = append(addresses, member.GetAdminAddress())
		}
	}
	if len(addresses) == 0 {
		return nil, &report{Exit: ExitFailed, Message: "no member has an admin address", Next: "give --admin ip:port"}
	}
	return addresses, nil
}

// fetchAll fetches the time lines of all addresses concurrently. The lists and
// errors have the indexes of their addresses.
func (v *timelineVerb) fetchAll(addresses []string, filter timeline.Filter) ([]timeline.List, []error) {
	lists := make([]timeline.List, len(addresses))
	errs := make([]error, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			list, err := v.fetch(address, filter)
			lists[i], errs[i] = list, port.AtStep("fetch time line", address, err)
		})
	}
	wait.Wait()
	return lists, errs
}

// fetch fetches the time line of one process.
func (v *timelineVerb) fetch(address string, filter timeline.Filter) (timeline.List, error) {
	var list timeline.List
	ctx, cancel := context.WithTimeout(context.Background(), v.app.Timeout)
	defer cancel()
	url := "http://" + address + "/timeline?" + filter.Values().Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	response, err := v.app.http.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxListBytes)
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(body, 1<<10))
		return list, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(message)))
	}
	// Decode may have filled a part of the list before it failed.
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return timeline.List{}, err
	}
	return list, nil
}

// eventsText returns one line for each event.
func eventsText(events []timeline.Event) []byte {
	var out bytes.Buffer
	for i := range events {
		e := &events[i]
		fmt.Fprintf(&out, "%s %s %s %s", e.Stamp.Time().Format(timeFormat), e.Process, e.DataCentre, e.Kind)
		for _, field := range eventFields(e) {
			fmt.Fprintf(&out, " %s=%s", field[0], field[1])
		}
		out.WriteByte('\n')
	}
	return out.Bytes()
}

// eventFields returns the names and values of the fields that are set.
func eventFields(e *timeline.Event) [][2]string {
	attempt := ""
	if e.Attempt != 0 {
		attempt = fmt.Sprint(e.Attempt)
	}
	all := [][2]string{
		{"job", e.Job}, {"task", e.Task}, {"request", e.Request}, {"attempt", attempt},
		{"team", e.Team}, {"worker", e.Worker}, {"peer", e.Peer}, {"detail", e.Detail},
	}
	var set [][2]string
	for _, field := range all {
		if field[1] != "" {
			set = append(set, field)
		}
	}
	return set
}

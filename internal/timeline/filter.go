package timeline

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"laburnumgrade/internal/hlc"
)

// Filter selects events that match all of its fields. An empty field matches every
// event.
type Filter struct {
	Job     string
	Task    string
	Request string
	Team    string
	Worker  string
	Kinds   []Kind
	// After selects the events with a greater stamp.
	After hlc.Stamp
	// Limit is how many events are returned at most, the newest; 0 means all.
	Limit int
}

// Matches reports whether the filter selects the event. It ignores Limit.
func (f *Filter) Matches(e *Event) bool {
	return e.Stamp > f.After &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Task == "" || f.Task == e.Task) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Team == "" || f.Team == e.Team) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind))
}

// Values returns the filter as query parameters, which ParseFilter reads.
func (f *Filter) Values() url.Values {
	values := url.Values{}
	for name, field := range f.textFields() {
		if *field != "" {
			values.Set(name, *field)
		}
	}
	for _, kind := range f.Kinds {
		values.Add("kind", kind.String())
	}
	if f.After != 0 {
		values.Set("after", f.After.String())
	}
	if f.Limit != 0 {
		values.Set("limit", strconv.Itoa(f.Limit))
	}
	return values
}

// ParseFilter returns the filter that the query parameters describe. Its errors
// name the parameter at fault.
func ParseFilter(values url.Values) (Filter, error) {
	var f Filter
	texts := f.textFields()
	for name, all := range values {
		field, isText := texts[name]
		if name != "kind" && len(all) > 1 {
			return f, fmt.Errorf("parameter %s is given %d times, allowed once", name, len(all))
		}
		var err error
		switch {
		case isText:
			*field = all[0]
		case name == "kind":
			err = f.addKinds(all)
		case name == "after":
			f.After, err = hlc.Parse(all[0])
		case name == "limit":
			f.Limit, err = parseLimit(all[0])
		default:
			return f, fmt.Errorf("unknown parameter %s, allowed job, task, request, team, worker, kind, after, limit", name)
		}
		if err != nil {
			return f, fmt.Errorf("parameter %s: %w", name, err)
		}
	}
	return f, nil
}

// parseLimit parses the parameter limit.
func parseLimit(text string) (int, error) {
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 {
		return 0, fmt.Errorf("found %q, allowed a whole number of events", text)
	}
	return limit, nil
}

// textFields returns the text fields by the name of their parameter.
func (f *Filter) textFields() map[string]*string {
	return map[string]*string{"job": &f.Job, "task": &f.Task, "request": &f.Request, "team": &f.Team, "worker": &f.Worker}
}

// addKinds adds the kinds with the given names.
func (f *Filter) addKinds(names []string) error {
	for _, name := range names {
		kind, err := ParseKind(name)
		if err != nil {
			return err
		}
		f.Kinds = append(f.Kinds, kind)
	}
	return nil
}

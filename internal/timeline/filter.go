package timeline

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"laburnumgrade/internal/hlc"
)

// Filter selects events. Fields that are empty select all.
type Filter struct {
	Job     string
	Task    string
	Request string
	Team    string
	Worker  string
	Kinds   []Kind
	// After selects events with a greater stamp.
	After hlc.Stamp
	// Limit keeps only the newest events; 0 keeps all.
	Limit int
}

// Matches reports whether the filter selects the event; it ignores Limit.
func (f *Filter) Matches(e *Event) bool {
	return e.Stamp > f.After &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Task == "" || f.Task == e.Task) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Team == "" || f.Team == e.Team) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind))
}

// Values returns the filter as query parameters.
func (f *Filter) Values() url.Values {
	values := url.Values{}
	for name, field := range f.texts() {
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

// ParseFilter reads query parameters. The error names the parameter.
func ParseFilter(values url.Values) (Filter, error) {
	var f Filter
	texts := f.texts()
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

// parseLimit reads a number of events.
func parseLimit(text string) (int, error) {
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 {
		return 0, fmt.Errorf("found %q, allowed a whole number of events", text)
	}
	return limit, nil
}

// texts returns the plain fields by parameter name.
func (f *Filter) texts() map[string]*string {
	return map[string]*string{"job": &f.Job, "task": &f.Task, "request": &f.Request, "team": &f.Team, "worker": &f.Worker}
}

// addKinds adds kinds by name.
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

package ctl

import (
	"bytes"
	"html/template"
	"slices"

	"laburnumgrade/internal/timeline"
)

// pageRow is one row of the HTML page. Its exported fields are used by the template.
type pageRow struct {
	Time string
	// Lane is the column of the event's process, counted from 0.
	Lane   int
	Event  timeline.Event
	Fields [][2]string
}

// pageData is the input of pageTemplate.
type pageData struct {
	Processes []string
	Rows      []pageRow
	Answer    mergedTimeline
}

// pageTemplate has one column for each process and one row for each event, so
// that the order of events in different processes can be read downwards.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>laburnumgrade time line</title>
<style>
body{font:13px/1.4 system-ui,sans-serif;margin:1em}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#fff;text-align:left}
td,th{border:1px solid #ddd;padding:2px 6px;vertical-align:top}
td.time{white-space:nowrap;font-family:monospace}
td.event{background:#eef6e8}
small{color:#555;overflow-wrap:anywhere}
.warn{color:#a00}
</style></head><body>
<h1>Time line</h1>
<p>{{len .Rows}} events in causal order.
{{range $process, $n := .Answer.Dropped}}{{if $n}}<span class="warn">{{$process}} has overwritten {{$n}} older events.</span> {{end}}{{end}}
{{range .Answer.Missing}}<span class="warn">No time line from {{.}}.</span> {{end}}</p>
<p><label>Show rows that contain <input id="q" type="search"></label></p>
<table><thead><tr><th>Time (UTC)</th>{{range .Processes}}<th>{{.}}</th>{{end}}</tr></thead><tbody>
{{range $row := .Rows}}<tr><td class="time">{{$row.Time}}</td>{{range $i, $p := $.Processes}}{{if eq $i $row.Lane}}<td class="event"><b>{{$row.Event.Kind}}</b> <small>{{range $row.Fields}}{{index . 0}}={{index . 1}} {{end}}</small></td>{{else}}<td></td>{{end}}{{end}}</tr>
{{end}}</tbody></table>
<script>
document.getElementById("q").addEventListener("input", function (e) {
  const q = e.target.value.toLowerCase();
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.toLowerCase().includes(q);
  }
});
</script></body></html>
`))

// renderPage returns the time line as one HTML page that loads no other resource.
func renderPage(answer mergedTimeline) ([]byte, error) {
	data := pageData{Answer: answer}
	for i := range answer.Events {
		data.Processes = append(data.Processes, answer.Events[i].Process)
	}
	slices.Sort(data.Processes)
	data.Processes = slices.Compact(data.Processes)
	for i := range answer.Events {
		e := answer.Events[i]
		lane := slices.Index(data.Processes, e.Process)
		data.Rows = append(data.Rows, pageRow{e.Stamp.Time().Format(timeFormat), lane, e, eventFields(&e)})
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, data)
	return out.Bytes(), err
}

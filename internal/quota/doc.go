// Package quota decides how a team's upper limit is divided between the data
// centres, and what is ended when a limit or a capacity falls below what runs.
package quota

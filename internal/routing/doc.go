// Package routing chooses the instance that serves a call and counts the slots
// that this entry hands out.
package routing

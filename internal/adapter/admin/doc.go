// Package admin serves metrics, time line, health and profiles of a process on
// its admin address. The address must be reachable by operators only: it asks
// for no key.
package admin

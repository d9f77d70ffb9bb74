// Package admission decides whether new work is accepted: it refuses what no
// worker could ever hold, bounds the queues of each team, and sheds work by
// team share under overload.
package admission

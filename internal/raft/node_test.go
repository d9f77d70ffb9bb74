package raft

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumgrade/gen/peerv1"
)

// TestMain fixes the seed so that every run explores the same histories;
// -rapid.seed and -rapid.checks select others.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20", "rapid.checks": "100", "rapid.steps": "200", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestFaults drives three replicas, with and without disks, through random
// faults. It guards against two leaders in a term, differing logs, lost
// committed entries, two valid leases at one instant and a stale lease holder.
func TestFaults(t *testing.T) {
	var elections, transfers, replaced, commands, committed int
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters")
		c := newSimCluster(t, voters, rapid.IntRange(0, 3).Draw(t, "diskless"))
		c.run(2 * time.Second)
		t.Repeat(c.actions())
		c.settle()
		elections += c.elections
		transfers += c.transfers
		replaced += c.replaced
		commands += c.commands
		committed += len(c.committed)
	})
	t.Logf("%d elections, %d transfers, %d membership changes, %d commands, %d entries committed",
		elections, transfers, replaced, commands, committed)
	if elections < 100 || transfers == 0 || replaced == 0 || committed < 1000 {
		t.Error("the histories exercise too little")
	}
}

func (c *simCluster) actions() map[string]func(*rapid.T) {
	any := func(t *rapid.T) *simNode {
		return c.nodes[rapid.SampledFrom(c.ids()).Draw(t, "node")]
	}
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			c.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		},
		"runLong": func(t *rapid.T) { c.run(2 * time.Second) },
		"propose": func(t *rapid.T) { c.propose(rapid.IntRange(1, 5).Draw(t, "count")) },
		"partition": func(t *rapid.T) {
			s := any(t)
			c.cut[s.id] = !c.cut[s.id]
		},
		"cutLink": func(t *rapid.T) { c.links[link(any(t).id, any(t).id)] = true },
		"heal": func(t *rapid.T) {
			c.cut, c.links = map[string]bool{}, map[[2]string]bool{}
		},
		"network": func(t *rapid.T) {
			c.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
			c.delay = time.Duration(rapid.SampledFrom([]int{5, 40, 400}).Draw(t, "delay")) * time.Millisecond
		},
		"pause": func(t *rapid.T) {
			any(t).pausedTo = c.now + time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms"))*time.Millisecond
		},
		"crash": func(t *rapid.T) {
			s := any(t)
			if !s.up || !s.disk && !c.mayLose(s.id) {
				return
			}
			if s.crashAt = crashPoint(rapid.IntRange(0, 2).Draw(t, "point")); s.crashAt == crashNever || !s.disk {
				c.crash(s)
			}
		},
		"restart": func(t *rapid.T) {
			for _, id := range c.ids() {
				if s := c.nodes[id]; !s.up {
					c.boot(s, c.initial)
				}
			}
		},
		"bounce": func(t *rapid.T) {
			if s := any(t); s.up && s.disk {
				c.crash(s)
				c.run(50 * time.Millisecond)
				c.boot(s, c.initial)
			}
		},
		"transfer": func(t *rapid.T) {
			if l := c.leader(); l != nil && l.node.TransferLeadership("") == nil {
				c.transfers++
				c.handle(l)
			}
		},
		"change": func(t *rapid.T) { c.change() },
		"compact": func(t *rapid.T) {
			if s := any(t); s.up {
				c.compact(s)
			}
		},
		"": func(t *rapid.T) { c.checkLeases() },
	}
}

func (c *simCluster) propose(count int) {
	l := c.leader()
	if l == nil {
		return
	}
	var commands [][]byte
	for range count {
		c.commands++
		commands = append(commands, fmt.Append(nil, c.commands))
	}
	if _, _, err := l.node.Propose(commands); err == nil {
		c.handle(l)
	}
}

// change makes a useful membership change: remove a member whose state is lost;
// if there is none, promote a learner or add a replica that is in no membership;
// else remove a voter, to be added again later. Lost members are removed first:
// with 2 of 4 voters gone (the lost one, and a learner lost while it is being
// promoted) the group could not become live again.
func (c *simCluster) change() {
	l := c.leader()
	if l == nil {
		return
	}
	m := l.node.members()
	var changes []Change
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		if c.lost[v.Id] {
			changes = append(changes, Change{Remove, v})
		}
	}
	lost := len(changes) > 0
	for _, v := range m.Learners {
		if !lost {
			changes = append(changes, Change{Promote, v})
		}
	}
	for _, id := range c.ids() {
		if !lost && !l.node.isMember(id) {
			changes = append(changes, Change{AddLearner, &peerv1.RaftReplica{Id: id}})
		}
	}
	if len(changes) == 0 && len(m.Voters) >= 3 {
		changes = append(changes, Change{Remove, m.Voters[c.rng.IntN(len(m.Voters))]})
	}
	c.rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	for _, change := range changes {
		if _, _, err := l.node.ProposeChange(change); err == nil {
			c.replaced++
			c.handle(l)
			return
		}
	}
}

// settle ends all faults and checks that the group becomes live again: a leader
// with a lease commits a new command and every running member applies it.
func (c *simCluster) settle() {
	c.cut, c.links = map[string]bool{}, map[[2]string]bool{}
	c.loss, c.delay = 0, 5*time.Millisecond
	for _, id := range c.ids() {
		s := c.nodes[id]
		s.pausedTo = 0
		if !s.up {
			c.boot(s, c.initial)
		}
		s.crashAt = crashNever
	}
	for range 20 {
		c.run(2 * time.Second)
		before := len(c.committed)
		c.propose(1)
		c.run(time.Second)
		if len(c.committed) > before && c.converged() {
			return
		}
	}
	for _, s := range c.running() {
		c.t.Logf("%s: %+v promise %v now %v", s.id, s.node.Status(), s.node.promiseUntil, s.node.now)
	}
	c.t.Fatalf("the group does not become live")
}

func (c *simCluster) converged() bool {
	l := c.leader()
	if l == nil {
		return false
	}
	if _, _, valid := l.node.Lease(); !valid {
		return false
	}
	for _, s := range c.running() {
		if l.node.isMember(s.id) && s.applied != l.applied {
			return false
		}
	}
	return true
}

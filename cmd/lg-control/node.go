package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
	"laburnumgrade/internal/control"
	"laburnumgrade/internal/host"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/process"
	"laburnumgrade/internal/scheduler"
)

const (
	raftPath   = peerv1.RaftServicePathPrefix
	fleetGroup = "fleet"
)

// node is the wiring of one process.
type node struct {
	c        *config.Control
	p        *process.Process
	host     *host.Host
	server   *control.Server
	replicas []hosted
}

// hosted is a group of which the process hosts a replica.
type hosted struct {
	replica *host.ReplicaHandle
	listed  []string
	machine port.StateMachine
}

func newNode(c *config.Control, p *process.Process) *node {
	addresses := map[string]string{}
	var all []string
	for _, other := range c.Peers {
		addresses[other.Name] = other.Address.String()
		all = append(all, other.Address.String())
	}
	n := &node{c: c, p: p, host: host.New(host.Config{
		Name: c.Process.Name, Address: c.Peer.String(), Folder: c.DataFolder, JoinOnly: c.Groups.Join,
		Addresses: addresses, Client: p.Client, Clock: p.Clock, Logger: p.Logger,
	})}
	incarnation := time.Now().UnixNano()
	sc := control.Config{
		Name: fmt.Sprintf("%s#%d", c.Process.Name, incarnation), Member: p.Member("control", c.Peer.String(), uint64(incarnation)),
		DataCentre: c.Process.DataCentre,
		Clock:      p.Clock, Logger: p.Logger, Timeline: p.Timeline, Scope: p.Scope, DataCentres: c.Peers.DataCentres(),
		FleetPeers: peer.NewGroupClient(fleetGroup, p.Client, all), Scheduler: policy(&c.Scheduler),
	}
	for dc, listed := range c.Groups.DataCentres {
		if slices.Contains(listed, c.Process.Name) {
			g := control.NewDataCentreGroup(dc)
			r := n.add(&sc, dc, listed, g.Store, all)
			g.Log = r
			sc.Groups = append(sc.Groups, g)
		}
	}
	if slices.Contains(c.Groups.Fleet, c.Process.Name) {
		sc.Fleet = control.NewFleetGroup()
		sc.Fleet.Log = n.add(&sc, fleetGroup, c.Groups.Fleet, sc.Fleet.Store, all)
	}
	sc.OnControls = func(controls []*apiv1.Member) {
		var hosts []string
		for _, m := range controls {
			hosts = append(hosts, m.Address)
		}
		sc.FleetPeers.AddAddresses(hosts)
		for _, m := range sc.HostedGroups {
			m.Peers.AddAddresses(hosts)
		}
	}
	n.server = control.New(sc)
	return n
}

func (n *node) add(sc *control.Config, group string, listed []string, machine port.StateMachine, addresses []string) *host.ReplicaHandle {
	r := n.host.AddReplica(group)
	n.replicas = append(n.replicas, hosted{r, listed, machine})
	sc.HostedGroups = append(sc.HostedGroups, &control.HostedGroup{
		Group: group, Replica: r, Address: n.c.Peer.String(), PreferredVoters: listed,
		Peers: peer.NewGroupClient(group, n.p.Client, addresses),
	})
	return r
}

// start starts the replicas. The first error of any of them is sent.
func (n *node) start(ctx context.Context) <-chan error {
	failed := make(chan error, len(n.replicas))
	for _, h := range n.replicas {
		go func() {
			if err := n.host.Run(ctx, h.replica, h.listed, h.machine); err != nil {
				failed <- err
			}
		}()
	}
	return failed
}

// policy returns the scheduler's options that the settings choose.
func policy(c *config.Scheduler) scheduler.Options {
	o := scheduler.DefaultOptions()
	o.Policy.FairnessWeight = c.FairnessWeight
	o.Policy.MaxBypass = c.MaxBypass
	o.HalfLife = c.HalfLife
	return o
}

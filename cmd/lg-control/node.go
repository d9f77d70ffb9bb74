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
	// raftPath is the path prefix of the replicas' messages to each other.
	raftPath   = peerv1.RaftServicePathPrefix
	fleetGroup = "fleet"
)

// node connects the replicas that a process hosts with its server.
type node struct {
	c        *config.Control
	p        *process.Process
	host     *host.Host
	server   *control.Server
	replicas []hostedReplica
}

// hostedReplica is the replica of one group, with the group's preferred voters and
// the state machine to which the replica applies the log.
type hostedReplica struct {
	replica      *host.ReplicaHandle
	voters       []string
	stateMachine port.StateMachine
}

// newNode returns a node with a replica of each group that names the process among
// its voters. start starts the replicas.
func newNode(c *config.Control, p *process.Process) *node {
	addresses := map[string]string{}
	var controlAddresses []string
	for _, peerProcess := range c.Peers {
		addresses[peerProcess.Name] = peerProcess.Address.String()
		controlAddresses = append(controlAddresses, peerProcess.Address.String())
	}
	n := &node{c: c, p: p, host: host.New(host.Config{
		Name:      c.Process.Name,
		Address:   c.PeerAddress.String(),
		Folder:    c.DataFolder,
		JoinOnly:  c.Groups.JoinOnly,
		Addresses: addresses,
		Client:    p.Client,
		Clock:     p.Clock,
		Logger:    p.Logger,
		Scope:     p.Scope,
	})}
	incarnation := time.Now().UnixNano()
	serverConfig := control.Config{
		Name:        fmt.Sprintf("%s#%d", c.Process.Name, incarnation),
		Member:      p.Member("control", c.PeerAddress.String(), uint64(incarnation)),
		DataCentre:  c.Process.DataCentre,
		Clock:       p.Clock,
		Logger:      p.Logger,
		Timeline:    p.Timeline,
		Scope:       p.Scope,
		DataCentres: c.Peers.DataCentres(),
		FleetPeers:  peer.NewGroupClient(fleetGroup, p.Client, controlAddresses),
		Scheduler:   schedulerOptions(&c.Scheduler),
	}
	for dc, voters := range c.Groups.DataCentreVoters {
		if slices.Contains(voters, c.Process.Name) {
			g := control.NewDataCentreGroup(dc)
			r := n.add(&serverConfig, dc, voters, g.Store, controlAddresses)
			g.Log = r
			serverConfig.Groups = append(serverConfig.Groups, g)
		}
	}
	if slices.Contains(c.Groups.FleetVoters, c.Process.Name) {
		serverConfig.Fleet = control.NewFleetGroup()
		serverConfig.Fleet.Log = n.add(&serverConfig, fleetGroup, c.Groups.FleetVoters, serverConfig.Fleet.Store, controlAddresses)
	}
	serverConfig.OnControls = func(controls []*apiv1.Member) {
		var hosts []string
		for _, member := range controls {
			hosts = append(hosts, member.Address)
		}
		serverConfig.FleetPeers.AddAddresses(hosts)
		for _, group := range serverConfig.HostedGroups {
			group.Peers.AddAddresses(hosts)
		}
	}
	n.server = control.New(serverConfig)
	return n
}

// add adds a replica of a group to the host and to the configuration of the server.
func (n *node) add(serverConfig *control.Config, group string, voters []string, stateMachine port.StateMachine, addresses []string) *host.ReplicaHandle {
	r := n.host.AddReplica(group)
	n.replicas = append(n.replicas, hostedReplica{r, voters, stateMachine})
	serverConfig.HostedGroups = append(serverConfig.HostedGroups, &control.HostedGroup{
		Group: group, Replica: r, Address: n.c.PeerAddress.String(), PreferredVoters: voters,
		Peers: peer.NewGroupClient(group, n.p.Client, addresses),
	})
	return r
}

// start starts the replicas. The channel receives the error of each replica that
// fails.
func (n *node) start(ctx context.Context) <-chan error {
	failed := make(chan error, len(n.replicas))
	for _, h := range n.replicas {
		go func() {
			if err := n.host.Run(ctx, h.replica, h.voters, h.stateMachine); err != nil {
				failed <- err
			}
		}()
	}
	return failed
}

// schedulerOptions returns the default options with the values of the settings.
func schedulerOptions(c *config.Scheduler) scheduler.Options {
	o := scheduler.DefaultOptions()
	o.Policy.FairnessWeight = c.FairnessWeight
	o.Policy.MaxBypass = c.MaxBypass
	o.HalfLife = c.HalfLife
	return o
}

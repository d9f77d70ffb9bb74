package cluster

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// vm identifies a VM by the index of its data centre and its index in that data
// centre.
type vm struct{ dc, index int }

// link is one direction of the network connection between two VMs.
type link struct{ from, to vm }

// relays forward the connections between VMs, so that links can be cut. A cut
// link behaves as if all packets were lost: connections are accepted and open
// ones stay open, but no data passes.
type relays struct {
	mu  sync.Mutex
	cut map[link]bool
	// changed is closed and replaced at each change of cut.
	changed   chan struct{}
	listeners []net.Listener
	// addresses holds the address of each relay by source VM and by the address
	// of the process to which it forwards.
	addresses map[vm]map[string]string
}

func newRelays() *relays {
	return &relays{cut: map[link]bool{}, changed: make(chan struct{}), addresses: map[vm]map[string]string{}}
}

// add starts a relay on the link that forwards to a process's announced
// address.
func (r *relays) add(l link, announced string) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.%d:0", l.from.dc+1, l.from.index+1))
	if err != nil {
		return errors.Wrap(err, "start relay")
	}
	if r.addresses[l.from] == nil {
		r.addresses[l.from] = map[string]string{}
	}
	r.addresses[l.from][announced] = listener.Addr().String()
	r.listeners = append(r.listeners, listener)
	go r.accept(l, listener, announced)
	return nil
}

func (r *relays) accept(l link, listener net.Listener, announced string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(l, c, announced)
	}
}

func (r *relays) forward(l link, c net.Conn, announced string) {
	defer c.Close()
	r.awaitOpen(l)
	target, err := net.DialTimeout("tcp", announced, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	done := make(chan struct{}, 2)
	go func() { r.pipe(l, target, c); done <- struct{}{} }()
	go func() { r.pipe(link{l.to, l.from}, c, target); done <- struct{}{} }()
	<-done
}

// pipe copies data from one connection to another. While the link is cut, it
// holds back what it has read.
func (r *relays) pipe(l link, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.awaitOpen(l)
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relays) awaitOpen(l link) {
	for {
		r.mu.Lock()
		cut, changed := r.cut[l], r.changed
		r.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// setCut cuts or restores links.
func (r *relays) setCut(cut bool, links ...link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range links {
		r.cut[l] = cut
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relays) close() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = map[link]bool{}
	close(r.changed)
	r.changed = make(chan struct{})
}

// settingsSection returns the settings that make the processes of a VM connect
// to others through the relays.
func (r *relays) settingsSection(from vm) string {
	var b strings.Builder
	b.WriteString("[address_map]\n")
	n := 0
	for announced, relay := range r.addresses[from] {
		n++
		fmt.Fprintf(&b, "link-%d = %s %s\n", n, announced, relay)
	}
	return b.String()
}

// addRelays starts the relays between all VMs.
func (c *Cluster) addRelays() error {
	c.relays = newRelays()
	for from := range c.vms() {
		for to, addresses := range c.vms() {
			if from == to {
				continue
			}
			for _, a := range addresses {
				if err := c.relays.add(link{from, to}, a); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// vms returns the peer addresses of the processes on each VM.
func (c *Cluster) vms() map[vm][]string {
	m := map[vm][]string{}
	for d := range c.Spec.DataCentres {
		for n := range c.Spec.VMsPerDataCentre {
			i := d*c.Spec.VMsPerDataCentre + n
			m[vm{d, n}] = []string{c.Controls[i].Peer, c.Entries[i].Peer}
		}
	}
	return m
}

// Isolate cuts or restores all links between one VM and all others. The VM is
// given by the index of its processes in Controls and Entries.
func (c *Cluster) Isolate(i int, cut bool) {
	self := vm{i / c.Spec.VMsPerDataCentre, i % c.Spec.VMsPerDataCentre}
	for other := range c.vms() {
		if other != self {
			c.relays.setCut(cut, link{self, other}, link{other, self})
		}
	}
}

// Partition cuts or restores all links between one data centre, given by its
// index, and the others.
func (c *Cluster) Partition(dc int, cut bool) {
	for a := range c.vms() {
		for b := range c.vms() {
			if a.dc == dc && b.dc != dc {
				c.relays.setCut(cut, link{a, b}, link{b, a})
			}
		}
	}
}

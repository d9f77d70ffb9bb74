package httpserver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// idleConnections holds the idle connections of a server in the order in which they
// became idle.
type idleConnections struct {
	mu       sync.Mutex
	order    *list.List
	elements map[net.Conn]*list.Element
}

func newIdleConnections() *idleConnections {
	return &idleConnections{order: list.New(), elements: map[net.Conn]*list.Element{}}
}

// observe records a change of the state of a connection. Its type is that of
// http.Server.ConnState.
func (i *idleConnections) observe(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if e := i.elements[c]; e != nil {
		i.order.Remove(e)
		delete(i.elements, c)
	}
	if state == http.StateIdle {
		i.elements[c] = i.order.PushBack(c)
	}
}

// closeOldest closes up to n connections, those first that were idle the longest. Each of them
// counts as gone at once, since the server reports the end of a connection only later. Those that
// were closed already made no room and don't count.
func (i *idleConnections) closeOldest(n int) {
	for n > 0 {
		c := i.takeOldest()
		if c == nil {
			return
		}
		if c.Close() == nil {
			n--
		}
	}
}

// takeOldest removes the connection that was idle the longest, and returns nil if there is none.
func (i *idleConnections) takeOldest() net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	e := i.order.Front()
	if e == nil {
		return nil
	}
	c := e.Value.(net.Conn)
	i.order.Remove(e)
	delete(i.elements, c)
	return c
}

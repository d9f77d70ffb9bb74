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

// closeOldest closes up to n connections, those first that were idle the longest.
func (i *idleConnections) closeOldest(n int) {
	i.mu.Lock()
	var oldest []net.Conn
	for e := i.order.Front(); e != nil && len(oldest) < n; e = e.Next() {
		oldest = append(oldest, e.Value.(net.Conn))
	}
	i.mu.Unlock()
	for _, c := range oldest {
		_ = c.Close()
	}
}

package untrusted

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of a crowd. Its clients take none of them as a measure of the process.
const (
	// sendTime is how long a client sends at most, over all its connections.
	sendTime = 5 * time.Second
	// holdTime is how long the connections stay open once all clients have sent, so that
	// the process reads what it can.
	holdTime = time.Second
	// maxReconnects is how often a client opens a new connection after its connection was
	// closed or not accepted.
	maxReconnects = 2
	// reconnectDelay keeps a crowd that is refused from using the whole processor.
	reconnectDelay = 50 * time.Millisecond
	// smallBuffer is the size of the receive buffer of clients that do not read, in bytes.
	// It makes the server wait after few responses.
	smallBuffer = 4 << 10
)

// load is what the clients of a crowd send.
type load struct {
	name string
	// send sends on a new connection and returns when all has been sent or the connection
	// fails, which the deadline for writing ensures. client is the number of the client.
	send func(c net.Conn, client int) error
	// ignoresResponses is set if the clients do not read.
	ignoresResponses bool
}

// crowd is a number of clients that send a load to an address.
type crowd struct {
	address string
	load    load

	sent   sync.WaitGroup // clients that may still send
	ended  sync.WaitGroup // clients whose connections may be open
	leave  chan struct{}  // closed when the clients are to close their connections
	expiry time.Time      // of sending

	// Connections by what became of them; shown, not checked.
	opened, finished, expired atomic.Int64
}

// gather starts the clients of a crowd.
func gather(address string, l load, clients int) *crowd {
	c := &crowd{address: address, load: l, leave: make(chan struct{}), expiry: time.Now().Add(sendTime)}
	for i := range clients {
		c.sent.Add(1)
		c.ended.Go(func() { c.run(i) })
	}
	return c
}

// settle waits until all clients have sent and the process has had time to read.
func (c *crowd) settle() {
	c.sent.Wait()
	time.Sleep(holdTime)
}

// disperse makes the clients close their connections and waits for their ends.
func (c *crowd) disperse() {
	close(c.leave)
	c.ended.Wait()
}

// String returns what became of the connections.
func (c *crowd) String() string {
	return fmt.Sprintf("%d connections, on %d all was sent, on %d sending took too long", c.opened.Load(), c.finished.Load(), c.expired.Load())
}

// run is one client. It ends when it is told to leave or its connections were closed.
func (c *crowd) run(client int) {
	sent := sync.OnceFunc(c.sent.Done)
	defer sent()
	for range 1 + maxReconnects {
		c.connect(client, sent)
		select {
		case <-c.leave:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// connect opens a connection, sends and waits until the connection was closed or the client
// is told to leave. An error means that the process refuses the client, which is allowed.
func (c *crowd) connect(client int, sent func()) {
	dialer := net.Dialer{Deadline: c.expiry}
	if c.load.ignoresResponses {
		dialer.Control = limitReceiveBuffer
	}
	connection, err := dialer.Dial("tcp", c.address)
	if err != nil {
		return
	}
	defer connection.Close()
	c.opened.Add(1)
	_ = connection.SetWriteDeadline(c.expiry) // fails only on a closed connection
	closed := make(chan struct{})
	if !c.load.ignoresResponses {
		go func() {
			_, _ = io.Copy(io.Discard, connection)
			close(closed)
		}()
	}
	switch err := c.load.send(connection, client); {
	case err == nil:
		c.finished.Add(1)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.expired.Add(1)
	}
	select {
	case <-closed:
		return
	default:
		sent()
	}
	select {
	case <-closed:
	case <-c.leave:
	}
}

// limitReceiveBuffer is of the type of net.Dialer.Control.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
	})
	if err != nil {
		return err
	}
	return failed
}

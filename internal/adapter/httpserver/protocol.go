package httpserver

import "encoding/binary"

const (
	// http2Preface begins a connection that uses HTTP/2.
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

	frameHeadBytes    = 9
	frameHeaders      = 1
	frameContinuation = 9
	flagEndHeaders    = 4
)

// protocolEvent is what received bytes were part of.
type protocolEvent struct {
	// undecided is set while it is open whether the connection uses HTTP/2, http2 once it does.
	undecided, http2 bool
	// heads is the number of streams whose header block was completed.
	heads int
	// blockBegan is set if a header block of several frames began, inBlock while one is incomplete.
	blockBegan, inBlock bool
}

// protocolDetector follows the bytes that a connection receives. It finds out whether the connection
// uses HTTP/2 and whether a header block is incomplete, that is, the frames after the first one have
// not all arrived.
type protocolDetector struct {
	// http1 is set once the bytes differ from the preface, of which matched bytes were received.
	http1   bool
	matched int
	// head holds the received headBytes of a frame's head, left is the rest of its payload.
	head      [frameHeadBytes]byte
	headBytes int
	left      int
	inBlock   bool
	// lastStream is the identifier of the last stream that began.
	lastStream uint32
}

// http2 reports whether the connection uses HTTP/2.
func (d *protocolDetector) http2() bool { return d.matched == len(http2Preface) }

// feed takes the next bytes.
func (d *protocolDetector) feed(data []byte) protocolEvent {
	if d.http1 {
		return protocolEvent{}
	}
	for d.matched < len(http2Preface) {
		if len(data) == 0 {
			return protocolEvent{undecided: true}
		}
		if data[0] != http2Preface[d.matched] {
			d.http1 = true
			return protocolEvent{}
		}
		d.matched++
		data = data[1:]
	}
	event := protocolEvent{http2: true}
	for len(data) > 0 {
		if d.headBytes < frameHeadBytes {
			n := copy(d.head[d.headBytes:], data)
			d.headBytes += n
			data = data[n:]
			if d.headBytes < frameHeadBytes {
				break
			}
			d.left = int(binary.BigEndian.Uint32(d.head[:]) >> 8)
			if d.head[3] == frameHeaders && d.head[4]&flagEndHeaders == 0 {
				d.inBlock, event.blockBegan = true, true
			}
		}
		n := min(d.left, len(data))
		d.left -= n
		data = data[n:]
		if d.left > 0 {
			break
		}
		if kind := d.head[3]; (kind == frameHeaders || kind == frameContinuation) && d.head[4]&flagEndHeaders != 0 {
			d.inBlock = false
			if id := binary.BigEndian.Uint32(d.head[5:]); id > d.lastStream {
				d.lastStream = id // otherwise they are the trailers of a stream
				event.heads++
			}
		}
		d.headBytes = 0
	}
	event.inBlock = d.inBlock
	return event
}

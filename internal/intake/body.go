package intake

import (
	"context"
	"io"
	"sync"
)

const (
	// minBlockBytes is the size of the first block of a body. Further blocks are as large as the
	// body so far, up to maxBlockBytes, so that a body holds at most twice what was charged for
	// it, and a long one little more.
	minBlockBytes = 512
	maxBlockBytes = 16 << 10
)

// blockPool holds blocks of maxBlockBytes that are not in use. Without it, the blocks of bodies
// that are refused or cut off pile up until the garbage collector runs.
var blockPool = sync.Pool{New: func() any { return new([maxBlockBytes]byte) }}

// newBlock returns an empty block for a body of which length bytes were read.
func newBlock(length int) []byte {
	if length >= maxBlockBytes {
		return blockPool.Get().(*[maxBlockBytes]byte)[:0]
	}
	return make([]byte, 0, max(length, minBlockBytes))
}

// Body is a body that was read into memory. Its blocks are joined when it is decoded, because
// one that grows would hold up to three times its length while it is copied.
type Body struct {
	budget *Budget
	blocks [][]byte
	length int
}

// ReadBody reads all of r and charges it to the account that the context carries. An error is
// that of Account.Charge or of r.
func ReadBody(ctx context.Context, r io.Reader) (*Body, error) {
	account := FromContext(ctx)
	b := &Body{}
	if account != nil {
		b.budget = account.budget
	}
	for {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			b.blocks = append(b.blocks, newBlock(b.length))
			last++
		}
		block := b.blocks[last]
		n, err := r.Read(block[len(block):cap(block)])
		b.blocks[last] = block[:len(block)+n]
		b.length += n
		if n > 0 {
			if err := account.Charge(int64(n)); err != nil {
				b.drop()
				return nil, err
			}
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			b.drop()
			return nil, err
		}
	}
}

// drop gives the blocks back.
func (b *Body) drop() {
	for _, block := range b.blocks {
		if cap(block) == maxBlockBytes {
			blockPool.Put((*[maxBlockBytes]byte)(block[:maxBlockBytes]))
		}
	}
	b.blocks = nil
}

// Len returns the length in bytes.
func (b *Body) Len() int { return b.length }

// Decode passes the bytes to the function, which may keep them, and drops them. Bodies of more
// than SmallBytes are decoded one at a time, because their decoded form may be many times
// larger. It returns the context's error if the context ends before their turn.
func (b *Body) Decode(ctx context.Context, decode func([]byte) error) error {
	if b.length > SmallBytes && b.budget != nil {
		select {
		case b.budget.decoding <- struct{}{}:
			defer func() { <-b.budget.decoding }()
		case <-ctx.Done():
			b.drop()
			return ctx.Err()
		}
	}
	data := make([]byte, 0, b.length)
	for _, block := range b.blocks {
		data = append(data, block...)
	}
	b.drop()
	return decode(data)
}

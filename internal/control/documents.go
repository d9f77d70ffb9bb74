package control

import (
	"sync"

	"laburnumgrade/gen/statev1"
)

// documentCache holds values derived from all documents, which are many and change
// rarely.
type documentCache struct {
	mu sync.Mutex
	// index is the index of the configuration from which the values were derived; valid
	// is set once they were derived.
	index uint64
	valid bool
	list  []*statev1.Document
	// shares holds the sum of the shares in each team's documents.
	shares map[string]float64
}

// refreshDocuments rebuilds the cache if the copy of the configuration has changed.
// The caller holds the lock of the cache.
func (s *Server) refreshDocuments() {
	c := &s.documents
	index := s.follower.Store().Index()
	if c.valid && c.index == index {
		return
	}
	// The copy may change between the reads of the index and of the documents. The
	// next call then finds a higher index and rebuilds the cache.
	c.list = s.follower.Store().Documents()
	c.shares = map[string]float64{}
	for _, d := range c.list {
		c.shares[d.Team] += float64(d.Share)
	}
	c.index, c.valid = index, true
}

// shares returns the fair share of each team, which is the sum of the shares in its
// documents. The caller must not modify the map.
func (s *Server) shares() map[string]float64 {
	s.documents.mu.Lock()
	defer s.documents.mu.Unlock()
	s.refreshDocuments()
	return s.documents.shares
}

// allDocuments returns all documents. The caller must not modify the list.
func (s *Server) allDocuments() []*statev1.Document {
	s.documents.mu.Lock()
	defer s.documents.mu.Unlock()
	s.refreshDocuments()
	return s.documents.list
}

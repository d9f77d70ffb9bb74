package control

import (
	"sync"

	"laburnumgrade/gen/statev1"
)

// documentCache holds what is computed over all documents, which are many and
// change seldom.
type documentCache struct {
	mu     sync.Mutex
	index  uint64
	valid  bool
	list   []*statev1.Document
	shares map[string]float64
}

// refresh brings the cache to the configuration that the process follows.
func (s *Server) refresh() {
	c := &s.documents
	index := s.follower.Store().Index()
	if c.valid && c.index == index {
		return
	}
	// Documents may be of a later index: they are then read once more.
	c.list = s.follower.Store().Documents()
	c.shares = map[string]float64{}
	for _, d := range c.list {
		c.shares[d.Team] += float64(d.Share)
	}
	c.index, c.valid = index, true
}

// shares returns the teams' shares: the sum over each team's documents. The map
// must not be changed.
func (s *Server) shares() map[string]float64 {
	s.documents.mu.Lock()
	defer s.documents.mu.Unlock()
	s.refresh()
	return s.documents.shares
}

// allDocuments returns all documents. The list must not be changed.
func (s *Server) allDocuments() []*statev1.Document {
	s.documents.mu.Lock()
	defer s.documents.mu.Unlock()
	s.refresh()
	return s.documents.list
}

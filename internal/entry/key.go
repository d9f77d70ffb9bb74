package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/follower"
)

const (
	keyPrefix    = "lg_"
	keyIDBytes   = 8
	keyBodyBytes = 32
)

// newKey returns a key id, the key to show once, and the hash to store.
func newKey() (id, key string, hash []byte, err error) {
	b := make([]byte, keyIDBytes+keyBodyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", "", nil, errors.Wrap(err, "make key")
	}
	id = hex.EncodeToString(b[:keyIDBytes])
	key = keyPrefix + id + "_" + hex.EncodeToString(b[keyIDBytes:])
	sum := sha256.Sum256([]byte(key))
	return id, key, sum[:], nil
}

func bearer(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}

// checkOperator refuses a caller without the operator's key.
func (s *Server) checkOperator(h http.Header) error {
	sum := sha256.Sum256([]byte(bearer(h)))
	if subtle.ConstantTimeCompare(sum[:], s.operator[:]) != 1 {
		return connect.NewError(connect.CodeUnauthenticated, errors.New("the operator's key is missing or wrong"))
	}
	return nil
}

// refusal is a "not run" answer with its reason.
type refusal string

func (r refusal) Error() string { return "not run: " + string(r) }

// admitKey returns the document if the key allows work for it.
// Open queues need neither a key nor a configuration lease.
func (s *Server) admitKey(key, team, service string) (*statev1.Document, error) {
	d, permit := s.follower.Permit(keyID(key), team, service)
	switch {
	case permit == follower.OpenQueue:
		return d, nil
	case permit == follower.NoLease:
		return nil, refusal("this entry has no valid configuration lease; try another entry")
	case permit == follower.KeyRefused || !s.keyAllows(key, team):
		return nil, refusal("the key does not allow work for team " + team)
	}
	if d == nil {
		return nil, refusal("team " + team + " has no document for service " + service)
	}
	return d, nil
}

// keyID returns the id that a key carries; it is not secret.
func keyID(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "_")
	return id
}

func (s *Server) keyAllows(key, team string) bool {
	k := s.follower.Store().Key(keyID(key))
	if k == nil {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(sum[:], k.Hash) == 1 && !k.Withdrawn && k.Team == team
}

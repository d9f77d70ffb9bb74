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

// newKey returns the id of a new key, the key itself, which is shown to the operator
// once, and the hash to store.
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

// bearerKey returns the key in the Authorization header.
func bearerKey(h http.Header) string {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return key
}

// checkOperator returns an error unless the request carries the operator's key.
func (s *Server) checkOperator(h http.Header) error {
	sum := sha256.Sum256([]byte(bearerKey(h)))
	if subtle.ConstantTimeCompare(sum[:], s.operatorKeyHash[:]) != 1 {
		return connect.NewError(connect.CodeUnauthenticated, errors.New("the operator's key is missing or wrong"))
	}
	return nil
}

// refusal is the error for a request that was not run; its text is the reason.
type refusal string

func (r refusal) Error() string { return "not run: " + string(r) }

// admitKey returns the document of the service if the key allows work for it. Open
// queues need neither a key nor a configuration lease. The error is a refusal.
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

// keyID returns the id that is a part of the key. The id is not secret.
func keyID(key string) string {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "_")
	return id
}

// keyAllows reports whether the key is valid for the team.
func (s *Server) keyAllows(key, team string) bool {
	k := s.follower.Store().Key(keyID(key))
	if k == nil {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(sum[:], k.Hash) == 1 && !k.Withdrawn && k.Team == team
}

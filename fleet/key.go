package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// KeyID is the part of a key that is no secret: it names the key in plans,
// pages and records.
type KeyID string

// KeyHash is the SHA-256 of a whole key. The key itself is never stored.
type KeyHash [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return &MalformedError{Detail: "a key's hash is not 64 hexadecimal digits"}
	}
	copy(h[:], raw)
	return nil
}

// Key is a key that a team's work is accepted with.
type Key struct {
	ID   KeyID        `json:"id"`
	Team ident.TeamID `json:"team"`
	Hash KeyHash      `json:"hash"`
	// Until ends the overlap of a rotated key, as UTC wall-clock time to the
	// second; zero for a key that has not been rotated.
	Until time.Time `json:"until,omitzero"`

	Revision ports.Offset `json:"revision"`
}

// Parts of a rendered key: prefix, identifier and secret, joined by keySep.
const (
	keyPrefix      = "ffk"
	keySep         = "_"
	keyIDBytes     = 6  // bytes of randomness in a key's identifier
	keySecretBytes = 32 // bytes of randomness in a key's secret
)

// NewKey draws a key from random. It returns the key, which must be shown once
// and kept nowhere, with its identifier and hash. It returns the error of
// random.
func NewKey(random io.Reader) (key string, id KeyID, hash KeyHash, err error) {
	raw := make([]byte, keyIDBytes+keySecretBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", "", KeyHash{}, &RandomError{Cause: err}
	}
	id = KeyID(hex.EncodeToString(raw[:keyIDBytes]))
	key = strings.Join([]string{keyPrefix, string(id), hex.EncodeToString(raw[keyIDBytes:])}, keySep)
	return key, id, hashOf(key), nil
}

// KeyIDOf returns the identifier within a key, or "" for text that is no key.
func KeyIDOf(key string) KeyID {
	parts := strings.Split(key, keySep)
	if len(parts) != 3 || parts[0] != keyPrefix {
		return ""
	}
	return KeyID(parts[1])
}

// hashOf returns the hash under which a key is stored.
func hashOf(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// KeyReason says why a key does not authenticate.
type KeyReason string

// The reasons.
const (
	KeyMalformed KeyReason = "malformed" // not of the form of a key
	KeyNotValid  KeyReason = "not valid" // never given, or withdrawn
	KeyExpired   KeyReason = "expired"   // rotated, and the overlap has ended
)

// KeyError reports a key that does not authenticate. It never holds the key.
type KeyError struct {
	Reason KeyReason
}

// Error implements error.
func (e *KeyError) Error() string { return "key refused: " + string(e.Reason) }

// Authenticate returns the team that key belongs to, or a *KeyError. now is
// the wall clock; it matters only for rotated keys.
//
// The key's identifier, which is no secret, is looked up; the hash is then
// compared in constant time, also when there is no such identifier, so that
// the time taken tells nothing about secrets or about which identifiers exist.
func (s *State) Authenticate(key string, now time.Time) (ident.TeamID, error) {
	parts := strings.Split(key, keySep)
	if len(parts) != 3 || parts[0] != keyPrefix {
		return "", &KeyError{Reason: KeyMalformed}
	}
	hash := hashOf(key)
	known, found := s.keys[KeyID(parts[1])]
	equal := subtle.ConstantTimeCompare(hash[:], known.Hash[:]) == 1
	if !found || !equal {
		return "", &KeyError{Reason: KeyNotValid}
	}
	if !known.Until.IsZero() && now.After(known.Until) {
		return "", &KeyError{Reason: KeyExpired}
	}
	return known.Team, nil
}

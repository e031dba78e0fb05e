package api

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// KeyLifetime is how long after its creation a key may be submitted. It
	// bounds how long entries and agents must keep a key.
	KeyLifetime = 5 * time.Minute
	// ClockSkew is the largest tolerated difference between the clocks of callers
	// and hosts. With a larger difference a valid key may be refused, but its job
	// is never run twice.
	ClockSkew = 30 * time.Second
)

// Key is the idempotency key of a submission, a UUID version 7. The creation
// time in it decides when the key expires.
type Key [16]byte

// NewKey returns a new key with the current time.
func NewKey() (Key, error) {
	id, err := uuid.NewV7()
	return Key(id), errors.Wrap(err, "generate idempotency key")
}

// NewKeyAt returns a key with the given creation time and with random bits
// taken from seed, for tests and load generators that need reproducible keys.
func NewKeyAt(t time.Time, seed uint64) Key {
	var k Key
	ms := uint64(t.UnixMilli())
	for i := range 6 {
		k[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := range 8 {
		k[8+i] = byte(seed >> (8 * (7 - i)))
	}
	k[6] = 0x70 | byte(seed>>60)
	k[7] = byte(seed >> 52)
	k[8] = 0x80 | k[8]&0x3f
	return k
}

// ParseKey parses the text form of a UUID version 7.
func ParseKey(s string) (Key, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return Key{}, errors.Wrap(err, "idempotency key is not a UUID")
	}
	if id.Version() != 7 {
		return Key{}, errors.Errorf("idempotency key is a UUID of version %d, want version 7", id.Version())
	}
	return Key(id), nil
}

// String returns the text form of the UUID.
func (k Key) String() string { return uuid.UUID(k).String() }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(b []byte) error {
	p, err := ParseKey(string(b))
	if err != nil {
		return err
	}
	*k = p
	return nil
}

// Created returns the creation time embedded in the key, with millisecond
// precision.
func (k Key) Created() time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Expires returns the time from which the key is refused.
func (k Key) Expires() time.Time { return k.Created().Add(KeyLifetime + ClockSkew) }

// Expired reports whether the key must be refused at now because entries and
// agents may have discarded it.
func (k Key) Expired(now time.Time) bool { return !now.Before(k.Expires()) }

// FromFuture reports whether the key was created further ahead of now than
// ClockSkew allows.
func (k Key) FromFuture(now time.Time) bool { return k.Created().After(now.Add(ClockSkew)) }

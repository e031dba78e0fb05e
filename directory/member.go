package directory

import (
	"encoding/json"
	"net/netip"
	"sync"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// maxNameBytes bounds the name of a member, in bytes: it is the key of a row.
	maxNameBytes = 200
	// maxAddressBytes bounds an address, in bytes. Without it, an IPv6 address can have a
	// zone of any length.
	maxAddressBytes = 100
	// maxRejected bounds the rejected entries that are remembered.
	maxRejected = 1000
)

// Validate checks that the member can be used: an entry of another writer could have
// any content, and an address that can't exist must not be dialed.
func (m Member) Validate() error {
	if m.Name == "" || len(m.Name) > maxNameBytes || !utf8.ValidString(m.Name) {
		return errors.Errorf("member has no valid name: %.40q", m.Name)
	}
	required := m.Address
	switch m.Role {
	case RoleAgent:
	case RoleEntry:
		required = m.Directory
	default:
		return errors.Errorf("member %q has the unknown role %.40q", m.Name, m.Role)
	}
	if required == "" {
		return errors.Errorf("member %q has no address", m.Name)
	}
	for _, address := range []string{m.Address, m.Directory} {
		if address != "" && !validAddress(address) {
			return errors.Errorf("member %q has the address %.60q, which is not an IP address and port", m.Name, address)
		}
	}
	return nil
}

func validAddress(address string) bool {
	if len(address) > maxAddressBytes {
		return false
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// DecodeMember decodes and validates a row of MembersTable.
func DecodeMember(r Row) (Member, error) {
	if r.Err != nil {
		return Member{}, errors.Wrapf(r.Err, "row %q", r.Key)
	}
	m, err := UnmarshalMember(r.Value)
	if err != nil {
		return Member{}, errors.Wrapf(err, "row %q", r.Key)
	}
	if m.Name != r.Key {
		return Member{}, errors.Errorf("row %q names member %q", r.Key, m.Name)
	}
	return m, nil
}

// UnmarshalMember decodes and validates a member that another process has sent.
func UnmarshalMember(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, errors.Wrap(err, "decode member")
	}
	return m, m.Validate()
}

// Rejected remembers the entries that could not be used, so that each is logged once
// for each change of its content. The zero value is ready to use. It is safe for
// concurrent use.
type Rejected struct {
	mu     sync.Mutex
	hashes map[string]uint64
}

// Add records that an entry was rejected. It returns false if the same content was
// rejected under this key before.
func (r *Rejected) Add(key string, content []byte) bool {
	hash := xxhash.Sum64(content)
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.hashes[key]; ok && known == hash {
		return false
	}
	if r.hashes == nil || len(r.hashes) >= maxRejected {
		r.hashes = map[string]uint64{}
	}
	r.hashes[key] = hash
	return true
}

// Remove forgets an entry, after it was accepted or removed.
func (r *Rejected) Remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hashes, key)
}

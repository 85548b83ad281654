// Package claims suppresses duplicates of short non-idempotent requests: the id of a
// request is claimed in a shard of the platform's store before the request is dispatched.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"
)

const (
	ShardCount = 16
	// ClaimTTL is how long a request id stays claimed.
	ClaimTTL = 10 * time.Minute
	// maxEntries limits a shard's value to 448 KiB; the store allows 1 MiB. With ClaimTTL,
	// it allows 437 claims per second over all shards.
	maxEntries = 16384
)

// Claim is a claimed request id.
type Claim struct {
	Shard     uint32
	High, Low uint64 // hash of workspace and request id
	Token     uint64 // unique per claim; always odd

	// forwarded is set when another instance may still write the claim.
	forwarded bool
}

func (c Claim) key() idHash { return idHash{c.High, c.Low} }

// idHash is the hash of a workspace and a request id.
type idHash [2]uint64

// hashOf uses a cryptographic hash so that one workspace cannot choose request ids that
// collide with those of another.
func hashOf(workspace, requestID string) idHash {
	buf := make([]byte, 0, 256)
	buf = append(buf, workspace...)
	buf = append(buf, 0)
	buf = append(buf, requestID...)
	sum := sha256.Sum256(buf)
	return idHash{binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:16])}
}

// record is the claim of one id in a shard.
type record struct {
	token   uint64
	expires uint32 // seconds of Unix time
}

// contents is the decoded value of a shard: claims, and the tokens of released claims that
// another instance may still try to write.
type contents struct {
	claims   map[idHash]record
	released map[uint64]uint32 // token → expiry in seconds of Unix time
}

func newContents(size int) contents {
	return contents{claims: make(map[idHash]record, size), released: map[uint64]uint32{}}
}

// size returns the number of records in the encoded value.
func (c contents) size() int { return len(c.claims) + len(c.released) }

// purge deletes expired records.
func (c contents) purge(now time.Time) {
	for id, r := range c.claims {
		if r.expired(now) {
			delete(c.claims, id)
		}
	}
	for token, expires := range c.released {
		if (record{expires: expires}).expired(now) {
			delete(c.released, token)
		}
	}
}

// A shard's value is a version byte followed by records of 28 bytes in big-endian order:
// the two halves of the id's hash, the token, and the expiry. A claim's token is odd. A
// record with an even token marks the claim whose token is one higher as released; its hash
// is zero.
const (
	valueVersion = 1
	recordBytes  = 28
)

var errUnknownFormat = errors.New("claim shard value has an unknown format")

func (c contents) encode() []byte {
	value := make([]byte, 1, 1+c.size()*recordBytes)
	value[0] = valueVersion
	for id, r := range c.claims {
		value = appendRecord(value, id, r)
	}
	for token, expires := range c.released {
		value = appendRecord(value, idHash{}, record{token: token &^ 1, expires: expires})
	}
	return value
}

func appendRecord(value []byte, id idHash, r record) []byte {
	value = binary.BigEndian.AppendUint64(value, id[0])
	value = binary.BigEndian.AppendUint64(value, id[1])
	value = binary.BigEndian.AppendUint64(value, r.token)
	return binary.BigEndian.AppendUint32(value, r.expires)
}

func decode(value []byte) (contents, error) {
	if len(value) == 0 {
		return newContents(0), nil
	}
	if value[0] != valueVersion || (len(value)-1)%recordBytes != 0 {
		return contents{}, errUnknownFormat
	}
	c := newContents(len(value) / recordBytes)
	for b := value[1:]; len(b) > 0; b = b[recordBytes:] {
		r := record{token: binary.BigEndian.Uint64(b[16:]), expires: binary.BigEndian.Uint32(b[24:])}
		if r.token&1 == 0 {
			c.released[r.token|1] = r.expires
			continue
		}
		c.claims[idHash{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])}] = r
	}
	return c, nil
}

func (r record) expired(now time.Time) bool {
	return int64(r.expires) <= now.Unix()
}

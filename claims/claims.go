// Package claims suppresses duplicates of short non-idempotent requests: an id is
// claimed in a shard of the platform's store before its request is dispatched.
package claims

// Claim is a claimed request id.
type Claim struct {
	Shard     uint32
	High, Low uint64 // hash of workspace and request id
	Token     uint64 // unique to this claim
}

package ingress

import (
	"cmp"
	"time"
)

const (
	// stalledAfter is the time without a byte after which a request counts as stalled.
	stalledAfter = 250 * time.Millisecond
	// unusedAfter is the time after which a connection counts as stalled that has not sent the header of its first request.
	// A busy client, or a busy instance, needs longer for it than for the rest.
	unusedAfter = time.Second
	// manyRequests is the number of successive requests that arrived before the answer to the previous one from which a
	// connection is closed before others: clients that wait for their answers send none.
	manyRequests = 16
	// minDwell is how long a new connection is kept at least, so that a client that connects among many others is served.
	// It bounds how many connections are accepted when the limit is reached.
	minDwell = 100 * time.Millisecond
	// firstDwell is the same for a connection without a complete request: a client on a busy machine was closed for others
	// after minDwell, before it had sent anything.
	firstDwell = 250 * time.Millisecond
	// unreadAfter is the time of a blocked write after which a client with many requests on its connection does not read
	// its answers. Other answers fit into the buffer of the system, or are long ones and need the time of the link.
	unreadAfter = 20 * time.Millisecond
	// progressStep is the precision with which times without progress are compared. Within a step, the one with
	// more requests at once and then the holder of more bytes is closed first.
	progressStep = 250 * time.Millisecond
	// rateGrace is the time before a body's rate is judged, and rateFactor is how much slower than its deadline requires a
	// body may arrive.
	rateGrace  = 500 * time.Millisecond
	rateFactor = 8
)

// phase is what a connection does.
type phase int32

const (
	phaseNew     phase = iota // accepted; no byte received
	phaseHeader               // between the first byte of a request and the end of its header
	phaseReady                // the header was received; the call waits for the processor
	phaseBody                 // a body is being received
	phaseServing              // received completely, not answered
	phaseIdle                 // answered; no byte of the next request
	phaseRefused              // answered by a refusal, and about to be closed
)

// holder is the state of a connection as far as evictions depend on it.
type holder struct {
	phase      phase
	writing    bool      // a write is blocked by the client
	progressed time.Time // last byte received or sent, or begin of the call
	bytes      int64     // of the budget
	accepted   time.Time
	requests   int // on the connection
	burst      int // successive requests that arrived before the answer to the previous one
	// The body that is being received.
	began, deadline time.Time
	received        int64
	announced       int64 // -1 if not known
}

// slow reports whether the body arrives at less than an eighth of the rate that its deadline requires. A caller inside its
// deadline can be below it for a time, so the rate matters only when resources are short.
func (h *holder) slow(now time.Time) bool {
	elapsed, allowed := now.Sub(h.began), h.deadline.Sub(h.began)
	if h.phase != phaseBody || elapsed < rateGrace || allowed <= 0 || h.announced <= 0 {
		return false
	}
	return float64(h.received)*rateFactor < float64(h.announced)*float64(elapsed)/float64(allowed)
}

// rank returns the class of the holder; the highest is closed first. Negative: the holder is not closed for others.
// Those with a request are kept for the time after, idle ones for keepIdle.
func (h *holder) rank(now time.Time, after, keepIdle time.Duration) int {
	still := now.Sub(h.progressed)
	switch h.phase {
	case phaseNew:
		after = min(after, unusedAfter)
	case phaseIdle:
		after = keepIdle
	}
	switch {
	case still < after:
		return -1
	case h.phase == phaseRefused:
		return 4
	case h.writing && (still >= stalledAfter || still >= unreadAfter && h.requests >= manyRequests):
		return 3
	case h.phase == phaseServing || h.writing:
		return -1
	case h.phase == phaseReady && h.burst == 0: // the request of a client that waits for its answers
		return -1
	case h.burst >= manyRequests, h.slow(now):
		return 3
	case h.phase != phaseIdle && now.Sub(h.accepted) < minDwell:
		return -1
	case (h.phase == phaseNew || h.phase == phaseHeader && h.requests == 0) && still < unusedAfter:
		if now.Sub(h.accepted) < firstDwell {
			return -1
		}
		return 0
	case h.phase != phaseIdle && h.phase != phaseReady && still >= stalledAfter:
		return 3
	case h.phase == phaseIdle:
		return 2
	default:
		return 1
	}
}

// compare orders holders of the same rank, the one that is least likely to be served first.
func compare(a, b *holder, now time.Time) int {
	return cmp.Or(
		cmp.Compare(now.Sub(b.progressed)/progressStep, now.Sub(a.progressed)/progressStep),
		cmp.Compare(b.burst, a.burst),
		cmp.Compare(b.bytes, a.bytes),
		a.progressed.Compare(b.progressed),
	)
}

package node

import (
	"sync"
	"time"
)

// maxOutageGap is the maximum time between two rounds of queries to peers in one outage. After a longer one, this process
// has been paused, and the store may have answered others meanwhile.
const maxOutageGap = time.Second

const (
	// runningInterval is how often this process notes that it runs.
	runningInterval = 100 * time.Millisecond
	// maxRunningGap is the time between two such notes from which this process has been paused.
	maxRunningGap = time.Second
)

// outage records whether the store answers neither this instance nor any peer that replied, and whether this instance can
// still be the owner then: it is if its ownership was valid when the outage was first observed, because nobody can have been
// elected since.
type outage struct {
	mu       sync.Mutex
	observed bool
	owned    bool      // the ownership was valid when the outage was first observed
	checked  time.Time // end of the newest round of queries
	running  time.Time // when this process was last known to run
	resumed  time.Time // end of the newest pause
}

// noteRunning notes that this process runs. After a pause, the ownership is no longer known to be this instance's.
func (o *outage) noteRunning(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectPause(now)
}

// detectPause is called with the lock held.
func (o *outage) detectPause(now time.Time) {
	if !o.running.IsZero() && now.Sub(o.running) > maxRunningGap {
		o.owned, o.resumed = false, now
	}
	o.running = now
}

// observe records a round of queries in which no peer had access to the store. owned is whether the ownership was valid when
// it began, which shows nothing if this process was paused since.
func (o *outage) observe(owned bool, began, ended time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	continued := o.observed && began.Sub(o.checked) <= maxOutageGap
	o.owned = owned && !o.resumed.After(began) || o.owned && continued
	o.observed, o.checked = true, ended
}

// end records that the store answers this instance or a peer.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observed, o.owned = false, false
}

// keepsOwnership reports whether no other instance can have become the owner during the outage.
func (o *outage) keepsOwnership(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectPause(now)
	return o.observed && o.owned
}

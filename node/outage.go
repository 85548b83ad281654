package node

import (
	"sync"
	"time"
)

// maxOutageGap is the maximum time between two rounds of queries to peers in one outage. After a longer one, this process
// has been paused, and the store may have answered others meanwhile.
const maxOutageGap = time.Second

// outage records whether the store answers neither this instance nor any peer that replied, and whether this instance can
// still be the owner then: it is if its ownership was valid when the outage was first observed, because nobody can have been
// elected since.
type outage struct {
	mu       sync.Mutex
	observed bool
	owned    bool      // the ownership was valid when the outage was first observed
	checked  time.Time // end of the newest round of queries
}

// observe records a round of queries in which no peer had access to the store. owned is whether the ownership was valid when
// it began.
func (o *outage) observe(owned bool, began, ended time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	continued := o.observed && began.Sub(o.checked) <= maxOutageGap
	o.owned = owned || o.owned && continued
	o.observed, o.checked = true, ended
}

// end records that the store answers this instance or a peer.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observed, o.owned = false, false
}

// keepsOwnership reports whether no other instance can have become the owner during the outage.
func (o *outage) keepsOwnership() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.observed && o.owned
}

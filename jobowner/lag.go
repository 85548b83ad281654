package jobowner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

const (
	// lagFactor is how often a call waits for the CPU or the link, from the request until its answer is processed.
	lagFactor = 4
	// maxLagAllowance limits what the lag adds to a timeout.
	maxLagAllowance = 2 * time.Second
	// maxReportPause limits the pause after a report while this instance lags. It is short compared with a lease.
	maxReportPause = time.Second
	// lagReportAt is the lag from which the owner counts as lagging. It ends below half of that.
	lagReportAt = 100 * time.Millisecond
)

// lagAllowance is the time that the lag of this instance adds to a call.
func (t *Term) lagAllowance() time.Duration {
	return min(lagFactor*t.opts.Lag(), maxLagAllowance)
}

// checkLag records the lag, and logs when the owner begins or ceases to lag. The caller holds the lock.
func (t *Term) checkLag() {
	lag := t.opts.Lag()
	orders, waiting := t.orders.counts()
	silent, silentWaiting := t.silentOrders.counts()
	orders, waiting = orders+silent, waiting+silentWaiting
	t.lagGauge.Update(lag.Milliseconds())
	t.linkGauge.Update(t.opts.Link.Queue().Milliseconds())
	t.ordersGauge.Update(int64(orders))
	lagging := lag >= lagReportAt || t.lagging && lag >= lagReportAt/2
	if lagging == t.lagging {
		return
	}
	t.lagging = lagging
	events.Info(t.opts.Log, events.OwnerLags, zap.Bool("lagging", lagging), zap.Duration("lag", lag), zap.Duration("link_queue", t.opts.Link.Queue()),
		zap.Int("orders", orders), zap.Int("orders_waiting", waiting))
}

package jobowner

import (
	"cmp"
	"time"

	"github.com/cyclamenyard/cyclamenyard/internal/suspend"
	"github.com/cyclamenyard/cyclamenyard/jobstate"
	"github.com/cyclamenyard/cyclamenyard/workerapi"
	"github.com/cyclamenyard/cyclamenyard/workload"
)

// maxOrderDelay is the longest time after which an order without an answer is carried out.
const maxOrderDelay = 12 * time.Second

// initialLeaseEnd returns the time by which the lease of a worker that has not answered in this term has
// expired. If this owner has sent starts to a former incarnation of the worker, the worker may carry them out
// late, and they grant a full lease.
func (t *Term) initialLeaseEnd(w *jobstate.Worker, now time.Time) time.Time {
	for r := range w.Runs {
		if r.StartSent {
			return now.Add(maxOrderDelay + t.maxLeaseDuration())
		}
	}
	return t.inheritedLeaseEnd(w, now)
}

// inheritedLease is how long after the start of the term a worker that has not answered yet may
// hold a lease from a former owner.
func (t *Term) inheritedLease() time.Duration {
	return predecessorRenewal + t.maxLeaseDuration()
}

// inheritedLeaseEnd returns the time by which the lease of a worker that has not answered in this term
// has expired: the end of the longest lease that the predecessor may have granted. If a former owner got
// no answer from the worker and recorded the end of its lease, this end plus wallClockMargin is used if
// it is earlier.
func (t *Term) inheritedLeaseEnd(w *jobstate.Worker, now time.Time) time.Time {
	ends := t.startedAt.Add(t.inheritedLease())
	if w.RecordedLeaseEnds == 0 {
		return ends
	}
	left := time.Duration(w.RecordedLeaseEnds-t.opts.WallClock().UnixMilli()) * time.Millisecond
	if recorded := now.Add(left + wallClockMargin); recorded.Before(ends) {
		return recorded
	}
	return ends
}

// maxLeaseDuration is how long a lease granted now lasts at most by this process's clock, with
// clockDrift and leaseMargin added.
func (t *Term) maxLeaseDuration() time.Duration {
	return t.opts.MaxLease + time.Duration(clockDrift*float64(t.opts.MaxLease)) + leaseMargin
}

// needsLeaseClock reports whether the end of the worker's lease is to be recorded on the clock of another worker:
// that was not done, or the other worker is gone, and there is a worker to replace it.
func (t *Term) needsLeaseClock(w *jobstate.Worker, now time.Time) bool {
	if end := w.RecordedLeaseClock; end != nil && t.mayAnswer(end, now) {
		return false
	}
	return t.referenceFor(w) != nil
}

// mayAnswer reports whether the incarnation of the worker has answered in this term or still may.
func (t *Term) mayAnswer(reading *workload.ClockReading, now time.Time) bool {
	a := t.agents[reading.Worker]
	if a == nil {
		return now.Sub(t.startedAt) < firstListingGrace
	}
	return a.worker.Incarnation <= reading.Incarnation && (!a.clockAt.IsZero() || a.failures < maxFailedReports)
}

// referenceFor returns the agent of the worker with the best clock for leaseClock, or nil.
func (t *Term) referenceFor(w *jobstate.Worker) *agent {
	var lastAnswer time.Time
	if a := t.agents[w.ID]; a != nil {
		lastAnswer = a.lastAnswer
	}
	// A worker that has answered later, or is in another data centre, is less likely to have failed too.
	rank := func(a *agent) int {
		n := 0
		if a.lastAnswer.After(lastAnswer) {
			n += 2
		}
		if a.worker.DataCentre != w.DataCentre {
			n++
		}
		return n
	}
	var best *agent
	for _, a := range t.agents {
		if a.worker == w || !a.worker.Answered || !a.worker.Listed || a.worker.Draining || a.failures > 0 || a.clockBound == (clockBound{}) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(rank(a), rank(best)), cmp.Compare(best.worker.ID, a.worker.ID)) > 0 {
			best = a
		}
	}
	return best
}

// clockBound is an upper bound of a worker's clock: the clock that a report shows was read after the report was requested,
// and is never fast.
type clockBound struct {
	clock int64         // milliseconds, as reported
	asked suspend.Stamp // when the report was requested
}

// at returns the bound at now, in milliseconds.
func (b clockBound) at(now time.Time, suspended time.Duration) int64 {
	return b.clock + b.asked.Age(now, suspended).Milliseconds() + 1
}

// boundClock lowers the bound of the worker's clock if the report gives a lower one. Those that the worker holds back give
// higher ones. The caller holds the lock.
func (a *agent) boundClock(report workerapi.Report, asked suspend.Stamp, now time.Time) {
	if report.Incarnation != 0 && report.Incarnation != a.worker.Incarnation {
		return
	}
	suspended := a.t.opts.Suspended()
	b := clockBound{report.Clock, asked}
	if a.clockBound == (clockBound{}) || b.at(now, suspended) < a.clockBound.at(now, suspended) {
		a.clockBound = b
	}
}

// leaseClock returns the end of the worker's lease on the clock of another worker, so that later owners can tell
// without a common wall clock whether it has passed. It returns nil if no other worker answers.
func (t *Term) leaseClock(w *jobstate.Worker, now time.Time) *workload.ClockReading {
	reference := t.referenceFor(w)
	if reference == nil {
		return nil
	}
	clock := reference.clockBound.at(now, t.opts.Suspended())
	return &workload.ClockReading{Worker: reference.worker.ID, Incarnation: reference.worker.Incarnation,
		Clock: clock + w.LeaseEnds.Sub(now).Milliseconds() + 1}
}

// applyRecordedLeaseClock shortens the lease of a worker that has not answered in this term to the end that a
// former owner recorded on the clock of another worker, if that worker has answered. The caller holds the lock.
func (t *Term) applyRecordedLeaseClock(w *jobstate.Worker, now time.Time) {
	end := w.RecordedLeaseClock
	if end == nil || w.Answered || w.LeaseEnds.IsZero() {
		return
	}
	a := t.agents[end.Worker]
	if a == nil || a.worker.Incarnation != end.Incarnation || a.clockAt.IsZero() {
		return
	}
	// The clock may be slow, never fast: at least as much time has passed since the end was recorded as it shows, and
	// since the reading, so that at most this is left.
	left := time.Duration(end.Clock-a.clockMs)*time.Millisecond - now.Sub(a.clockAt)
	if ends := now.Add(left); ends.Before(w.LeaseEnds) {
		w.LeaseEnds = ends
	}
}

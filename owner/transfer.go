package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

// transfer transfers a queued job to another data centre by writing the data centre to its record.
// The state has already removed the job.
func (o *DataCentreOwner) transfer(j *job, to string) {
	j.status = jobTransferring
	rec := j.rec
	rec.DataCentre = to
	written := o.records.put(rec)
	o.goRun(func() {
		var err error
		select {
		case err = <-written:
		case <-o.ctx.Done():
			return
		}
		o.post(func() { o.applyTransferResult(j, to, err) })
	})
}

func (o *DataCentreOwner) applyTransferResult(j *job, to string, err error) {
	if j.status != jobTransferring {
		return // the record was superseded, or already names the other data centre
	}
	if err != nil {
		// The write may have taken effect, which the next write detects.
		o.records.put(j.rec)
		o.park(j, time.Now().Add(retryDelay), true)
		return
	}
	events.Info(o.log, events.JobTransferred, zap.String("job", j.id()), zap.String("to", to))
	o.markGone(j, o.records.revision(j.id()))
	if n := o.opts.Notifier; n != nil {
		o.goRun(func() { n.JobTransferred(to, j.id()) })
	}
}

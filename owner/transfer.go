package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
)

// transfer hands a queued job to another data centre. The state has dropped the job.
func (o *DataCentreOwner) transfer(j *job, to string) {
	j.status = jobLeaving
	moved := j.rec
	moved.DataCentre = to
	wait := o.records.put(moved)
	o.goRun(func() {
		var err error
		select {
		case err = <-wait:
		case <-o.ctx.Done():
			return
		}
		o.post(func() { o.transferred(j, to, err) })
	})
}

func (o *DataCentreOwner) transferred(j *job, to string, err error) {
	if j.status != jobLeaving {
		return // the record was taken, or found in the other data centre
	}
	if err != nil {
		// The write may have taken effect: the next one finds out.
		o.records.put(j.rec)
		o.park(j, time.Now().Add(retryDelay), true)
		return
	}
	events.Info(o.log, events.JobTransferred, zap.String("job", j.id()), zap.String("to", to))
	o.leave(j, o.records.revision(j.id()))
	if n := o.o.Notifier; n != nil {
		o.goRun(func() { n.JobTransferred(to, j.id()) })
	}
}

package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// destination chooses the data centre to which a job is transferred when the policy, which
// sees only its own, leaves that open: one whose stage allows starts and whose fleet can
// hold the job. It prefers room for the whole gang now, then the own region, then a short
// queue; equals are spread by a hash of the job.
func (o *DataCentreOwner) destination(j *job) (string, bool) {
	summaries := map[string]*peer.Summary{}
	if o.o.Summaries != nil {
		for _, s := range o.o.Summaries() {
			summaries[s.DataCentre] = s
		}
	}
	region := ""
	if own := o.manifest.DataCentre(o.dc); own != nil {
		region = own.Region
	}
	shape := &j.rec.Job.Shape
	rank := func(dc *structs.DataCentre) (full, far, queued int, hash uint64) {
		full, far = 1, 1
		if s := summaries[dc.Name]; s != nil {
			queued = int(s.Queued)
			if int(s.LargestGang) >= shape.Tasks {
				full = 0
			}
		}
		if dc.Region == region {
			far = 0
		}
		return full, far, queued, xxhash.Sum64String(dc.Name + "/" + j.id())
	}
	var fits []*structs.DataCentre
	for i := range o.manifest.DataCentres {
		dc := &o.manifest.DataCentres[i]
		holds := dc.Fleet.Workers == 0 || shape.Task.CountIn(dc.Fleet.Capacity)*dc.Fleet.Workers >= shape.Tasks
		if dc.Name != o.dc && dc.Stage.AllowsStarts() && holds {
			fits = append(fits, dc)
		}
	}
	if len(fits) == 0 {
		return "", false
	}
	best := slices.MinFunc(fits, func(a, b *structs.DataCentre) int {
		fullA, farA, queuedA, hashA := rank(a)
		fullB, farB, queuedB, hashB := rank(b)
		return cmp.Or(cmp.Compare(fullA, fullB), cmp.Compare(farA, farB), cmp.Compare(queuedA, queuedB), cmp.Compare(hashA, hashB))
	})
	return best.Name, true
}

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

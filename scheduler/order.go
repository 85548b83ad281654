package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/fairshare"
	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// medianQuantile is the quantile used for the expected run time of a job.
const medianQuantile = 0.5

// minRunTime is the minimum estimate of a run time. It keeps the response ratio of very short jobs
// finite.
const minRunTime = time.Second

// entry is a queued job with its sort keys.
type entry struct {
	job        *state.Job
	rank       int  // the effective class, or one of the ranks below
	reserved   bool // has a reservation of an earlier decision as a blocked large job
	guaranteed bool // fits into its workspace's guarantee
	share      int  // weighted share of the workspace outside its guarantees, in steps
	ratio      float64
}

// Ranks ahead of class 0: urgent jobs inside their guarantee, then jobs with a reservation. Without
// a rank of its own, a job with a reservation could lose the resources drained for it to another
// job.
const (
	rankUrgent   = -2
	rankReserved = -1
)

// orderQueue returns the jobs to consider in the order of their placement. Within a class, jobs
// inside a guarantee come first, since they cannot be reclaimed once started; then urgent jobs;
// then jobs of the workspace with the smaller weighted dominant share; then jobs with the higher
// response ratio, so that short jobs come first and none starves.
func (c *cycle) orderQueue() []entry {
	list := make([]entry, 0, min(len(c.d.Queue), c.opts.ScanLimit))
	fitCache := map[guaranteeFitKey]bool{}
	for i, j := range c.d.Queue {
		if i >= c.opts.ScanLimit && !j.Urgent {
			continue
		}
		e := entry{job: j, rank: c.effectiveClass(j), ratio: c.responseRatio(j), reserved: c.earlierReservation(j.ID) != nil}
		if e.reserved {
			e.rank = rankReserved
		}
		if asg := c.assignments[j.Workspace]; asg != nil {
			key := guaranteeFitKey{j.Workspace, j.Shape, j.Class, j.Urgent, j.Reclaimable()}
			inGuarantee, ok := fitCache[key]
			if !ok {
				_, inGuarantee = c.fitsGuarantee(j)
				fitCache[key] = inGuarantee
			}
			if e.guaranteed = inGuarantee; inGuarantee && j.Urgent {
				e.rank = rankUrgent
			}
		}
		list = append(list, e)
	}
	for i := range list {
		list[i].share = c.shareStep(&list[i])
	}
	slices.SortFunc(list, compareEntries)
	return list
}

func compareEntries(a, b entry) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank), compareBool(b.reserved, a.reserved), compareBool(b.guaranteed, a.guaranteed),
		compareBool(b.job.Urgent, a.job.Urgent), cmp.Compare(a.share, b.share),
		cmp.Compare(b.ratio, a.ratio), cmp.Compare(a.job.ID, b.job.ID),
	)
}

// guaranteeFitKey identifies jobs for which fitsGuarantee gives the same result.
type guaranteeFitKey struct {
	workspace   string
	shape       structs.Shape
	class       structs.Class
	urgent      bool
	reclaimable bool
}

// shareStep returns the workspace's weighted dominant share outside its guarantees, in steps of
// ShareStep, with the starts of this decision. It is 0 for jobs inside a guarantee, which are not
// ordered by share.
func (c *cycle) shareStep(e *entry) int {
	if e.guaranteed {
		return 0
	}
	ws := e.job.Workspace
	used := c.d.Used[ws].Sub(c.d.GuaranteedUsed[ws]).Add(c.startedOutsideGuarantee[ws])
	return fairshare.Step(used.DominantShare(c.d.Capacity), float64(max(c.d.Workspaces[ws].Weight, 1)), c.opts.ShareStep)
}

// requeueFirst moves the first entry back if its workspace's share has grown since the queue was
// ordered. It reports whether another entry is first now.
func (c *cycle) requeueFirst(queue []entry) bool {
	e := queue[0]
	step := c.shareStep(&e)
	if step <= e.share {
		return false
	}
	e.share = step
	i, _ := slices.BinarySearchFunc(queue[1:], e, compareEntries)
	copy(queue, queue[1:i+1])
	queue[i] = e
	return i > 0
}

// effectiveClass returns the job's class. An archive job counts as standard after ArchivePromotionAge.
func (c *cycle) effectiveClass(j *state.Job) int {
	if j.Class == structs.ClassArchive && c.now.Sub(j.Submitted) >= c.opts.ArchivePromotionAge {
		return int(structs.ClassStandard)
	}
	return int(j.Class)
}

// responseRatio returns (wait + size) / size², where size is the remaining run time times the
// square root of the job's slots. The square root keeps a large job from being ordered behind all
// small ones.
func (c *cycle) responseRatio(j *state.Job) float64 {
	size := c.remaining(j, medianQuantile).Seconds() * math.Sqrt(float64(max(j.Shape.Total().Slots, 1)))
	wait := max(c.now.Sub(j.Submitted), 0).Seconds()
	return (wait + size) / size / size
}

// remaining estimates the run time that a job still needs, at quantile q and at least minRunTime.
func (c *cycle) remaining(j *state.Job, q float64) time.Duration {
	return max(c.d.RunTimes.Quantile(j.Service, j.Workspace, j.Declared, q)-j.Progress, minRunTime)
}

// expectedEnd estimates when an active job ends. A job that has exceeded its estimate is expected
// to run for another tenth of its run time so far.
func (c *cycle) expectedEnd(j *state.Job, q float64) time.Time {
	end := j.StartedAt.Add(c.remaining(&state.Job{Job: j.Job, Progress: j.Progress - j.CheckpointAt.Sub(j.StartedAt)}, q))
	if end.After(c.now) {
		return end
	}
	const overrunPart = 10
	return c.now.Add(max(c.now.Sub(j.StartedAt)/overrunPart, minRunTime))
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/state"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// medianQuantile estimates the usual run time of a job.
const medianQuantile = 0.5

// minRunTime keeps the response ratio of very short jobs finite.
const minRunTime = time.Second

// entry is a queued job with its place in the order.
type entry struct {
	job        *state.Job
	rank       int  // urgent work inside its guarantee is before class 0
	reserved   bool // holds the reservation of the first blocked large job
	guaranteed bool // fits the unmet guarantee of its workspace
	share      int  // step of the workspace's weighted share outside its guarantees
	ratio      float64
}

// Ranks before the classes. The holder of the reservation keeps its turn, since the room
// that was drained for it would be lost to a later job.
const (
	rankUrgent   = -2
	rankReserved = -1
)

// order returns the jobs to consider, first to be placed first. Within a class, work
// inside a guarantee goes first, since its start cannot be reclaimed later; then the
// workspace with the smaller weighted dominant share; then the job whose waiting time is
// largest against its expected size, so that short jobs go first and none starves.
func (c *cycle) orderQueue() []entry {
	list := make([]entry, 0, min(len(c.d.Queue), c.opts.ScanLimit))
	fits := map[guaranteeFitKey]bool{}
	for i, j := range c.d.Queue {
		if i >= c.opts.ScanLimit && !j.Urgent {
			continue
		}
		e := entry{job: j, rank: c.effectiveClass(j), ratio: c.responseRatio(j), reserved: c.earlierReservation(j.ID) != nil}
		if e.reserved {
			e.rank = rankReserved
		}
		if m := c.assignments[j.Workspace]; m != nil {
			key := guaranteeFitKey{j.Workspace, j.Shape, j.Class, j.Urgent, j.Reclaimable()}
			in, ok := fits[key]
			if !ok {
				_, in = c.fitsGuarantee(j)
				fits[key] = in
			}
			if e.guaranteed = in; in && j.Urgent {
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

// fitKey identifies jobs that fit the same guarantee.
type guaranteeFitKey struct {
	workspace   string
	shape       structs.Shape
	class       structs.Class
	urgent      bool
	reclaimable bool
}

// shareStep is the step of the share that the workspace has now, with the starts of this
// decision. Work inside a guarantee is not ordered by share.
func (c *cycle) shareStep(e *entry) int {
	if e.guaranteed {
		return 0
	}
	ws := e.job.Workspace
	used := c.d.Used[ws].Sub(c.d.GuaranteedUsed[ws]).Add(c.startedOutsideGuarantee[ws])
	share := used.DominantShare(c.d.Capacity) / float64(max(c.d.Workspaces[ws].Weight, 1))
	return int(share / c.opts.ShareStep)
}

// postpone moves the first entry back if its workspace's share has grown since the queue
// was ordered, and reports whether another entry is first now.
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

// rank is the job's class; a job of the last class rises with its waiting time.
func (c *cycle) effectiveClass(j *state.Job) int {
	if j.Class == structs.ClassArchive && c.now.Sub(j.Submitted) >= c.opts.ArchivePromotionAge {
		return int(structs.ClassStandard)
	}
	return int(j.Class)
}

// responseRatio is the waiting time against the expected size of the job. The size grows
// with the square root of the room, so that a large job is not put behind all small ones.
func (c *cycle) responseRatio(j *state.Job) float64 {
	size := c.remaining(j, medianQuantile).Seconds() * math.Sqrt(float64(max(j.Shape.Total().Slots, 1)))
	wait := max(c.now.Sub(j.Submitted), 0).Seconds()
	return (wait + size) / size / size
}

// remaining estimates the run time that a job still needs, at quantile q.
func (c *cycle) remaining(j *state.Job, q float64) time.Duration {
	return max(c.d.RunTimes.Quantile(j.Service, j.Workspace, j.Declared, q)-j.Progress, minRunTime)
}

// endOf estimates when an active job ends. A job that has overrun its estimate is
// expected to need a tenth of its run time more.
func (c *cycle) expectedEnd(j *state.Job, q float64) time.Time {
	end := j.StartedAt.Add(c.remaining(&state.Job{Job: j.Job, Progress: j.Progress - j.CheckpointAt.Sub(j.StartedAt)}, q))
	if end.After(c.now) {
		return end
	}
	const overrunPart = 10
	return c.now.Add(max(c.now.Sub(j.StartedAt)/overrunPart, minRunTime))
}

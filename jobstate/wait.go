package jobstate

import "time"

// WaitReason is why a step that could run has nothing running.
type WaitReason int

// Reasons for which the newest decision did not start a waiting task.
const (
	WaitUndecided        WaitReason = iota // no decision has considered the step
	WaitWorkerListStale                    // the list of workers is too old
	WaitNoWorkerAccepts                    // no worker of the service accepts new work
	WaitNoWorkerEligible                   // none of those that do may run the step
	WaitAdvice                             // no worker has a valid ticket
	WaitHeadroom                           // the accelerators stay free for urgent jobs
	WaitPreferredRack                      // there is room only outside the preferred rack
	WaitNoRoom                             // not enough room that is free or can be reclaimed
	WaitReclaim                            // room is becoming free for the step
	WaitLossLimit                          // room is reserved; stopping the runs in it would discard too much work
	WaitReservations                       // too many other steps have reserved room
	WaitRoomForGang                        // what is free is kept for a more urgent gang that waits
	WaitGangMembers                        // members of an earlier run of the gang have not ended
	WaitRetryDelay                         // after a refused start or a failed call for advice
	WaitCap                                // its workspace has as much running as its cap allows
	WaitRecordRoom                         // further runs would make the job's record larger than the store accepts

	// Reasons for which the runs of a step without waiting tasks do not work.

	WaitRecordWrite        // the record of the planned run is not stored
	WaitStartOrder         // the start has not been sent: other orders are in progress, or the link is busy
	WaitStartAnswer        // the worker has not answered the start
	WaitFormerRun          // ordered by a former owner; the worker has not reported yet
	WaitUnresponsiveWorker // the run has started, and its worker does not respond
	WaitStop               // the end of the stopped run is not known

	waitReasons
)

var waitReasonNames = [waitReasons]string{
	"undecided", "worker_list_stale", "no_worker_accepts", "no_worker_eligible", "advice", "headroom",
	"preferred_rack", "no_room", "reclaim", "loss_limit", "reservations", "room_for_gang", "gang_members", "retry_delay", "workspace_cap", "record_room",
	"record_write", "start_order", "start_answer", "former_run", "unresponsive_worker", "stop",
}

// WaitReasonCount is the number of reasons, which are numbered from 0.
const WaitReasonCount = int(waitReasons)

func (r WaitReason) String() string { return waitReasonNames[r] }

// Scarcity reports whether the reason is a lack of resources, which is usual on a service that is full.
func (r WaitReason) Scarcity() bool {
	switch r {
	case WaitHeadroom, WaitNoRoom, WaitLossLimit, WaitReservations, WaitRoomForGang:
		return true
	}
	return false
}

// Exclusion is why a worker gets no new work, or none of a certain step.
type Exclusion int

// Reasons of an exclusion. If several hold, the first one counts.
const (
	NotExcluded          Exclusion = iota
	ExcludeUnlisted                // it has no entry in the store
	ExcludeUnanswered              // it has not answered this owner
	ExcludeLeaseRecorded           // a stored record contains the end of its lease because it was unresponsive
	ExcludeDraining
	ExcludeUpkeep    // its machine is the next one to be taken down
	ExcludeEvacuated // its data centre is evacuated
	ExcludeBlocked   // until Worker.BlockedUntil
	ExcludeAvoided   // until Worker.AvoidUntil; last of the causes of Cluster.Exclusion
	ExcludeProbation // after failures or stragglers; for urgent steps and gangs only
	ExcludeLabel     // the step requires another label
	ExcludeCapacity  // a task does not fit, even if the worker is idle
	ExcludeTicket    // no valid ticket of the advice service

	exclusions
)

var exclusionNames = [exclusions]string{
	"", "not_listed", "not_answered", "lease_end_recorded", "draining", "upkeep", "evacuated", "blocked", "avoided",
	"probation", "label", "capacity", "ticket",
}

// ExclusionCount is the number of exclusions with NotExcluded, which are numbered from 0.
const ExclusionCount = int(exclusions)

func (e Exclusion) String() string { return exclusionNames[e] }

// Exclusion returns why the worker gets no new work, apart from a stale list of workers.
func (c *Cluster) Exclusion(w *Worker, now time.Time) Exclusion {
	switch {
	case !w.Listed:
		return ExcludeUnlisted
	case !w.Answered:
		return ExcludeUnanswered
	case w.UnresponsiveStored:
		return ExcludeLeaseRecorded
	case w.Draining:
		return ExcludeDraining
	case w.UpkeepPending:
		return ExcludeUpkeep
	case c.Evacuated[w.DataCentre]:
		return ExcludeEvacuated
	case now.Before(w.BlockedUntil):
		return ExcludeBlocked
	case now.Before(w.AvoidUntil):
		return ExcludeAvoided
	}
	return NotExcluded
}

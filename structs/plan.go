package structs

import "time"

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions that a policy can plan.
const (
	ActionStart    ActionKind = "start"    // start the job's gang on Placements
	ActionPreempt  ActionKind = "preempt"  // checkpoint or stop the job's running gang
	ActionReserve  ActionKind = "reserve"  // reserve resources on Placements for the job from StartAt
	ActionRefuse   ActionKind = "refuse"   // reject the job, because it can never run
	ActionTransfer ActionKind = "transfer" // transfer the queued job to DataCentre
	ActionGrant    ActionKind = "grant"    // grant Slots of Worker to Instance for Service
	ActionRevoke   ActionKind = "revoke"   // revoke the grant GrantID
	ActionUncharge ActionKind = "uncharge" // stop charging the running job to its workspace's guarantee
)

// Action is one step of a plan. Fields that its kind does not use are zero.
type Action struct {
	Kind         ActionKind    `json:"kind"`
	Job          string        `json:"job,omitempty"`
	Placements   []Placement   `json:"placements,omitempty"`
	Guaranteed   bool          `json:"guaranteed,omitempty"` // the start is charged to the workspace's guarantee
	Checkpoint   bool          `json:"checkpoint,omitempty"` // preempt: checkpoint first
	Grace        time.Duration `json:"grace,omitempty"`      // preempt: time until the job is stopped
	PreemptedFor string        `json:"for,omitempty"`        // preempt, revoke: job or service that needs the resources
	StartAt      time.Time     `json:"start_at,omitzero"`
	DataCentre   string        `json:"data_centre,omitempty"`
	Instance     string        `json:"instance,omitempty"`
	Service      string        `json:"service,omitempty"`
	Worker       string        `json:"worker,omitempty"`
	Slots        int           `json:"slots,omitempty"`
	GrantID      string        `json:"grant_id,omitempty"`
	Reason       string        `json:"reason"` // the rule behind the action, with its inputs
}

// Plan is the result of one scheduling decision: actions in the order of execution.
type Plan struct {
	Actions []Action
	// NextDecisionAt is when the policy has to decide again even without an event, or zero if never.
	NextDecisionAt time.Time
}

package structs

import "time"

// ActionKind names what an action does.
type ActionKind string

// The kinds of actions a policy can plan.
const (
	ActionStart    ActionKind = "start"    // start the job's gang on Placements
	ActionPreempt  ActionKind = "preempt"  // checkpoint or stop the job's running gang
	ActionReserve  ActionKind = "reserve"  // keep room on Placements for the job from StartAt
	ActionRefuse   ActionKind = "refuse"   // the job can never run
	ActionTransfer ActionKind = "transfer" // hand the queued job to DataCentre
	ActionGrant    ActionKind = "grant"    // grant Slots of Worker to Instance for Service
	ActionRevoke   ActionKind = "revoke"   // take the grant GrantID back
	ActionUncharge ActionKind = "uncharge" // the job runs on outside its workspace's guarantee
)

// Action is one step of a plan. Fields that its kind does not use are zero.
type Action struct {
	Kind         ActionKind    `json:"kind"`
	Job          string        `json:"job,omitempty"`
	Placements   []Placement   `json:"placements,omitempty"`
	Guaranteed   bool          `json:"guaranteed,omitempty"` // the start is charged to the workspace's guarantee
	Checkpoint   bool          `json:"checkpoint,omitempty"` // preempt: checkpoint first
	Grace        time.Duration `json:"grace,omitempty"`      // preempt: time until the stop
	PreemptedFor string        `json:"for,omitempty"`        // preempt: the job that claims the room
	StartAt      time.Time     `json:"start_at,omitzero"`
	DataCentre   string        `json:"data_centre,omitempty"`
	Instance     string        `json:"instance,omitempty"`
	Service      string        `json:"service,omitempty"`
	Worker       string        `json:"worker,omitempty"`
	Slots        int           `json:"slots,omitempty"`
	GrantID      string        `json:"grant_id,omitempty"`
	Reason       string        `json:"reason"` // the rule that led to the action, with its inputs
}

// Plan is the ordered result of one decision.
type Plan struct {
	Actions []Action
	// NextDecisionAt is when the policy wants to decide again without an event; zero for never.
	NextDecisionAt time.Time
}

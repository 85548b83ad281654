package instance

import (
	"github.com/cyclamenyard/cyclamenyard/config"
	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/membership"
	"github.com/cyclamenyard/cyclamenyard/owner"
	"github.com/cyclamenyard/cyclamenyard/peer"
	"github.com/cyclamenyard/cyclamenyard/slots"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// Status describes the state of an instance: its configuration, the data centres and their owners.
type Status struct {
	Instance    structs.Instance   `json:"instance"`
	Ready       bool               `json:"ready"`
	Stopping    bool               `json:"stopping"`
	Revision    uint64             `json:"revision"`
	Config      config.Status      `json:"config"`
	DataCentres []DataCentreStatus `json:"data_centres"`
	Unplaced    []manifest.Share   `json:"unplaced_guarantees"` // fit into no data centre in service
	Owned       []owner.Status     `json:"owned"`
	Members     membership.Status  `json:"members"`
	Slots       slots.Status       `json:"slots"`
}

// DataCentreStatus describes a data centre from the view of this instance.
type DataCentreStatus struct {
	Name  string        `json:"name"`
	Stage structs.Stage `json:"stage"`
	Owner string        `json:"owner"`
	// Summary is the newest summary received from an owner, nil if there is none.
	Summary *peer.Summary `json:"summary,omitempty"`
	// MayStart is the reason why no work may start in the data centre, or empty if it may.
	MayStart string `json:"may_start"`
}

// DataCentresWithOwner returns the data centres that have an elected owner and whose newest summary
// comes from an owner that places work.
func (s Status) DataCentresWithOwner() []DataCentreStatus {
	var owned []DataCentreStatus
	for _, d := range s.DataCentres {
		if d.Owner != "" && d.Summary != nil && d.Summary.Owner != "" {
			owned = append(owned, d)
		}
	}
	return owned
}

// Explanation holds the recorded decisions about a request or job.
type Explanation struct {
	ID          string             `json:"id"`
	Requests    []gateway.Decision `json:"requests,omitempty"`
	Owners      []OwnerDecisions   `json:"owners,omitempty"`
	Unreachable []string           `json:"unreachable,omitempty"` // data centres whose owner did not answer
}

// OwnerDecisions holds the decisions of the owner of one data centre.
type OwnerDecisions struct {
	DataCentre string           `json:"data_centre"`
	Decisions  []owner.Decision `json:"decisions"`
}

// Status returns the current state for operators.
func (i *Instance) Status() Status {
	current, _ := i.config.Current()
	s := Status{
		Instance: i.info, Ready: i.Ready(), Stopping: i.stopping.Load(), Revision: current.Number,
		Config: i.config.Status(), Owned: i.owners.Status(), Members: i.members.Status(), Slots: i.pool.Status(),
		Unplaced: manifest.AssignGuarantees(current.Manifest).Unplaced,
	}
	summaries := map[string]*peer.Summary{}
	for _, sum := range i.members.Summaries() {
		if old := summaries[sum.DataCentre]; old == nil || sum.Token >= old.Token {
			summaries[sum.DataCentre] = sum
		}
	}
	for _, dc := range current.Manifest.DataCentres {
		d := DataCentreStatus{Name: dc.Name, Stage: dc.Stage, Summary: summaries[dc.Name]}
		d.Owner, _ = i.elections.holder(dc.Name)
		if err := i.config.MayStart(dc.Name); err != nil {
			d.MayStart = err.Error()
		}
		s.DataCentres = append(s.DataCentres, d)
	}
	return s
}

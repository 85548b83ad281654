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

// Status describes what is in force at an instance and who owns what.
type Status struct {
	Instance    structs.Instance   `json:"instance"`
	Ready       bool               `json:"ready"`
	Stopping    bool               `json:"stopping"`
	Revision    uint64             `json:"revision"`
	Config      config.Status      `json:"config"`
	DataCentres []DataCentreStatus `json:"data_centres"`
	Unplaced    []manifest.Share   `json:"unplaced_guarantees"` // not met by the data centres in service
	Owned       []owner.Status     `json:"owned"`
	Members     membership.Status  `json:"members"`
	Slots       slots.Status       `json:"slots"`
}

// DataCentreStatus describes a data centre as this instance knows it.
type DataCentreStatus struct {
	Name  string        `json:"name"`
	Stage structs.Stage `json:"stage"`
	Owner string        `json:"owner"`
	// Summary is the owner's last summary, nil when none is known.
	Summary *peer.Summary `json:"summary,omitempty"`
	// MayStart is empty when work may start there, else the reason why not.
	MayStart string `json:"may_start"`
}

// Owners returns the data centres whose owner places work.
func (s Status) Owners() []DataCentreStatus {
	var owned []DataCentreStatus
	for _, d := range s.DataCentres {
		if d.Owner != "" && d.Summary != nil && d.Summary.Owner != "" {
			owned = append(owned, d)
		}
	}
	return owned
}

// Explanation holds the decision records of a request or job.
type Explanation struct {
	ID          string             `json:"id"`
	Requests    []gateway.Decision `json:"requests,omitempty"`
	Owners      []OwnerDecisions   `json:"owners,omitempty"`
	Unreachable []string           `json:"unreachable,omitempty"` // data centres whose owner did not answer
}

// OwnerDecisions are the decisions of one data centre's owner.
type OwnerDecisions struct {
	DataCentre string           `json:"data_centre"`
	Decisions  []owner.Decision `json:"decisions"`
}

// Status returns the present state for operators.
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

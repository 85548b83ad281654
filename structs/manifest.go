package structs

import "time"

// Stage is the stage of a data centre as the manifest states it.
type Stage string

// The stages of a data centre. Work starts only in StageOpen and StageReturning.
const (
	StageOpen      Stage = "open"
	StageDraining  Stage = "draining"
	StageOut       Stage = "out"
	StageReturning Stage = "returning"
)

// AllowsStarts reports whether work may start in a data centre at this stage.
func (s Stage) AllowsStarts() bool {
	return s == StageOpen || s == StageReturning
}

// Manifest is the operators' document: workspaces with their guarantees, data
// centres and services.
type Manifest struct {
	DataCentres []DataCentre `json:"data_centres" yaml:"data_centres"`
	Workspaces  []Workspace  `json:"workspaces" yaml:"workspaces"`
	Services    []Service    `json:"services" yaml:"services"`
}

// DataCentre states a data centre and its stage.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
	Stage  Stage  `json:"stage" yaml:"stage"`
	// DrainBy is when running work must have left a draining data centre. The zero
	// time lets it run to its end.
	DrainBy time.Time `json:"drain_by,omitzero" yaml:"drain_by,omitempty"`
	// Fleet is the expected fleet, against which guarantees are checked.
	Fleet FleetSpec `json:"fleet" yaml:"fleet"`
}

// FleetSpec states the expected workers of a data centre.
type FleetSpec struct {
	Workers        int       `json:"workers" yaml:"workers"`
	WorkersPerRack int       `json:"workers_per_rack" yaml:"workers_per_rack"`
	Capacity       Resources `json:"capacity" yaml:"capacity"`
	Connections    int       `json:"connections" yaml:"connections"`
}

// Workspace states a workspace, its share and its guarantees.
type Workspace struct {
	Name       string      `json:"name" yaml:"name"`
	Weight     int         `json:"weight" yaml:"weight"`         // share above the guarantees, at least 1
	MaxQueued  int         `json:"max_queued" yaml:"max_queued"` // requests and jobs waiting
	RatePerSec float64     `json:"rate_per_sec" yaml:"rate_per_sec"`
	Guarantees []Guarantee `json:"guarantees" yaml:"guarantees"`
}

// Guarantee states that Count times Shape can be reclaimed for the workspace at any time.
type Guarantee struct {
	Name  string `json:"name" yaml:"name"`
	Shape Shape  `json:"shape" yaml:"shape"`
	Count int    `json:"count" yaml:"count"`
}

// Class orders services: a lower class is placed first.
type Class int

// The classes of work, by how long their callers can wait.
const (
	ClassInteractive Class = 0 // motion capture, rota requests
	ClassStandard    Class = 1 // notices, draft minutes
	ClassArchive     Class = 2 // archive transcripts
)

// ServiceKind tells short requests from long jobs.
type ServiceKind string

// The kinds of services.
const (
	KindRequest ServiceKind = "request" // answered on the connection
	KindJob     ServiceKind = "job"     // accepted, then asked about
)

// Service states a service, its class and its limits.
type Service struct {
	Name      string      `json:"name" yaml:"name"`
	Kind      ServiceKind `json:"kind" yaml:"kind"`
	Class     Class       `json:"class" yaml:"class"`
	SlotShape Resources   `json:"slot_shape" yaml:"slot_shape"` // resources of one slot of a request service
	MinSlots  int         `json:"min_slots" yaml:"min_slots"`   // slots kept for the service in each data centre
	MaxTasks  int         `json:"max_tasks" yaml:"max_tasks"`   // largest gang
	MaxBody   int64       `json:"max_body" yaml:"max_body"`     // bytes of a request's body
	MaxAnswer int64       `json:"max_answer" yaml:"max_answer"` // bytes of an answer
	Timeout   Duration    `json:"timeout" yaml:"timeout"`       // default deadline of a request
	Grace     Duration    `json:"grace" yaml:"grace"`           // checkpoint grace of a job
}

// DataCentre returns the data centre with the given name, or nil.
func (m *Manifest) DataCentre(name string) *DataCentre {
	for i := range m.DataCentres {
		if m.DataCentres[i].Name == name {
			return &m.DataCentres[i]
		}
	}
	return nil
}

// Workspace returns the workspace with the given name, or nil.
func (m *Manifest) Workspace(name string) *Workspace {
	for i := range m.Workspaces {
		if m.Workspaces[i].Name == name {
			return &m.Workspaces[i]
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (m *Manifest) Service(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}

// Revision is a committed manifest as the store holds it.
type Revision struct {
	Number          uint64   `json:"number"`    // counts commits from 1
	CommitID        string   `json:"commit_id"` // unique to the commit, to resolve a lost answer
	RecentCommitIDs []string `json:"recent"`    // commit ids of earlier revisions, newest first, bounded
	Manifest        Manifest `json:"manifest"`
}

// Duration is a time.Duration that is written as text, such as "2s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

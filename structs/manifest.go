package structs

import "time"

// Stage is the operating stage of a data centre, set in the manifest.
type Stage string

// The stages of a data centre. Work starts only in StageOpen and StageReturning.
const (
	StageOpen      Stage = "open"
	StageDraining  Stage = "draining"
	StageOut       Stage = "out"
	StageReturning Stage = "returning"
)

// AllowsStarts reports whether work may start in a data centre in this stage.
func (s Stage) AllowsStarts() bool {
	return s == StageOpen || s == StageReturning
}

// Manifest is the configuration that operators maintain: data centres, workspaces with their
// guarantees, and services.
type Manifest struct {
	DataCentres []DataCentre `json:"data_centres" yaml:"data_centres"`
	Workspaces  []Workspace  `json:"workspaces" yaml:"workspaces"`
	Services    []Service    `json:"services" yaml:"services"`
}

// DataCentre describes a data centre and its stage.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
	Stage  Stage  `json:"stage" yaml:"stage"`
	// DrainBy is the time by which running work must have left a draining data centre. If it is zero,
	// running work may finish.
	DrainBy time.Time `json:"drain_by,omitzero" yaml:"drain_by,omitempty"`
	// Fleet is the expected fleet. Guarantees are validated against it.
	Fleet FleetSpec `json:"fleet" yaml:"fleet"`
}

// FleetSpec describes the expected workers of a data centre.
type FleetSpec struct {
	Workers        int       `json:"workers" yaml:"workers"`
	WorkersPerRack int       `json:"workers_per_rack" yaml:"workers_per_rack"`
	Capacity       Resources `json:"capacity" yaml:"capacity"`
	Connections    int       `json:"connections" yaml:"connections"`
}

// Workspace describes a workspace with its fair-share weight, limits and guarantees.
type Workspace struct {
	Name       string      `json:"name" yaml:"name"`
	Weight     int         `json:"weight" yaml:"weight"`         // fair-share weight above the guarantees, at least 1
	MaxQueued  int         `json:"max_queued" yaml:"max_queued"` // limit of queued requests and jobs
	RatePerSec float64     `json:"rate_per_sec" yaml:"rate_per_sec"`
	Guarantees []Guarantee `json:"guarantees" yaml:"guarantees"`
}

// Guarantee entitles a workspace to Count gangs of Shape at any time; resources are reclaimed from
// other work if needed.
type Guarantee struct {
	Name  string `json:"name" yaml:"name"`
	Shape Shape  `json:"shape" yaml:"shape"`
	Count int    `json:"count" yaml:"count"`
}

// Class is the scheduling priority of a service; lower values are placed first.
type Class int

// The classes, by how long callers can wait for an answer.
const (
	ClassInteractive Class = 0 // motion capture, rota requests
	ClassStandard    Class = 1 // notices, draft minutes
	ClassArchive     Class = 2 // archive transcripts
)

// ServiceKind distinguishes short requests from long-running jobs.
type ServiceKind string

// The kinds of services.
const (
	KindRequest ServiceKind = "request" // answered on the caller's connection
	KindJob     ServiceKind = "job"     // accepted at once, the caller polls for the result
)

// Service describes a service with its class and limits.
type Service struct {
	Name      string      `json:"name" yaml:"name"`
	Kind      ServiceKind `json:"kind" yaml:"kind"`
	Class     Class       `json:"class" yaml:"class"`
	SlotShape Resources   `json:"slot_shape" yaml:"slot_shape"` // resources of one slot of a request service
	MinSlots  int         `json:"min_slots" yaml:"min_slots"`   // slots guaranteed to the service in each data centre
	MaxTasks  int         `json:"max_tasks" yaml:"max_tasks"`   // limit of tasks in a gang
	MaxBody   int64       `json:"max_body" yaml:"max_body"`     // limit of a request body, in bytes
	MaxAnswer int64       `json:"max_answer" yaml:"max_answer"` // limit of an answer, in bytes
	Timeout   Duration    `json:"timeout" yaml:"timeout"`       // default deadline of a request
	Grace     Duration    `json:"grace" yaml:"grace"`           // time a checkpoint of a job may take
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

// Revision is a committed manifest as stored.
type Revision struct {
	Number          uint64   `json:"number"`    // counts commits from 1
	CommitID        string   `json:"commit_id"` // unique per commit, to resolve a lost answer
	RecentCommitIDs []string `json:"recent"`    // commit ids of the latest earlier revisions, newest first
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

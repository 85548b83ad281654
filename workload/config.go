package workload

import (
	"strings"
	"time"
)

// Route is a queue of jobs: what is submitted under its host and path prefix.
type Route struct {
	Name        string        `json:"n"`
	Host        string        `json:"-"`
	PathPrefix  string        `json:"-"`
	Service     string        `json:"s"`           // its workers run the tasks
	Priority    int           `json:"p,omitempty"` // 0 comes first
	Timeout     time.Duration `json:"-"`           // longest wait of a caller for an answer
	Target      time.Duration `json:"t,omitempty"` // added to the objective of a job
	Stretch     float64       `json:"x,omitempty"` // objective as a multiple of the longest chain of tasks
	MaxAttempts int           `json:"m,omitempty"` // failed runs of a task that fail its job
	Public      bool          `json:"-"`           // calls need no key
	Advice      *Advice       `json:"a,omitempty"` // nil when any worker of the service may run a step
}

// Advice states how long the advice service takes and how long its tickets are valid.
type Advice struct {
	Decision  time.Duration // of one call
	PerWorker time.Duration // added for each worker named
	Valid     time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name             string
	AdmissionControl bool // its workers refuse what does not fit
	Standby          bool // its machines are off
}

// Workspace is a customer with its keys and its guarantee.
type Workspace struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int // for its jobs of priority 0
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is not changed after NewConfig.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	routes     map[string]*Route
	hosts      map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[string]string
}

// NewConfig indexes c and returns it.
func NewConfig(c Config) *Config {
	c.routes = make(map[string]*Route, len(c.Routes))
	c.hosts = make(map[string][]*Route)
	c.services = make(map[string]*Service, len(c.Services))
	c.workspaces = make(map[string]*Workspace, len(c.Workspaces))
	c.keys = make(map[string]string)
	for n := range c.Routes {
		r := &c.Routes[n]
		c.routes[r.Name] = r
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for n := range c.Services {
		c.services[c.Services[n].Name] = &c.Services[n]
	}
	for n := range c.Workspaces {
		w := &c.Workspaces[n]
		c.workspaces[w.Name] = w
		for _, key := range w.Keys {
			c.keys[key] = w.Name
		}
	}
	return &c
}

// Match returns the route of the host with the longest prefix of path, and the rest of
// the path.
func (c *Config) Match(host, path string) (*Route, string, bool) {
	if n := strings.LastIndexByte(host, ':'); n >= 0 {
		host = host[:n]
	}
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.PathPrefix):], true
}

// Route returns the route with the name, or nil.
func (c *Config) Route(name string) *Route { return c.routes[name] }

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Workspace returns the workspace with the name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// WorkspaceOf returns the name of the workspace that the key belongs to. No key is none.
func (c *Config) WorkspaceOf(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	name, ok := c.keys[key]
	return name, ok
}

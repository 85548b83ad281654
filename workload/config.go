package workload

import (
	"strings"
	"time"
)

// Route is a queue for the jobs that are submitted under a host and path prefix.
type Route struct {
	Name          string        `json:"n"`
	Host          string        `json:"-"`
	PathPrefix    string        `json:"-"`
	Service       string        `json:"s"`           // whose workers run the tasks
	Priority      int           `json:"p,omitempty"` // 0 is the highest
	Timeout       time.Duration `json:"-"`           // maximum time a caller waits for an answer
	TargetLatency time.Duration `json:"t,omitempty"` // constant part of a job's latency objective
	Stretch       float64       `json:"x,omitempty"` // part of the objective, as a multiple of the job's critical path
	MaxAttempts   int           `json:"m,omitempty"` // failed runs of a task after which its job fails
	Public        bool          `json:"-"`           // calls need no API key
	Advice        *Advice       `json:"a,omitempty"` // nil if any worker of the service may run a step
}

// Advice describes the response time of the advice service and the validity of its tickets.
type Advice struct {
	Decision  time.Duration // response time of a call
	PerWorker time.Duration // additional response time for each worker in the call
	Valid     time.Duration // validity of a ticket
}

// Service is a pool of workers.
type Service struct {
	Name             string
	AdmissionControl bool // its workers refuse runs that exceed their free capacity
	Standby          bool // its machines are powered off
}

// Workspace is a customer with its API keys and its guaranteed accelerators.
type Workspace struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int       // for its jobs of priority 0
	Weight                 float64   // share of the service when all of it is in use; 0 if none is configured
	Cap                    Resources // most that its runs may use at a time on all workers together; a component of 0 sets no limit
}

// Limited reports whether a weight or a cap is configured for the workspace.
func (w *Workspace) Limited() bool { return w.Weight > 0 || w.Cap != (Resources{}) }

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable after NewConfig.
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

// NewConfig returns c with its lookup indexes built.
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

// Match returns the route of the host whose prefix of path is the longest, and the path after that
// prefix.
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

// Route returns the route with the given name, or nil.
func (c *Config) Route(name string) *Route { return c.routes[name] }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Workspace returns the workspace with the given name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// WorkspaceOf returns the name of the workspace that the key belongs to. An empty key belongs to none.
func (c *Config) WorkspaceOf(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	name, ok := c.keys[key]
	return name, ok
}

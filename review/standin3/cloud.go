package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the platform.
type machine struct {
	name, zone, rack, state string
	worker                  *worker
	done                    map[int64]bool // waves
	token                   uint64
}

// order is an order for upkeep as the cloud has received it.
type order struct {
	at              time.Time
	machine, holder string
	token           uint64
	status          int // 0 if it got no answer
}

// cloud is a stand-in of the service that operates the machines.
type cloud struct {
	fleet *fleet
	rec   *record

	mu       sync.Mutex
	machines []*machine
	orders   []order
	// silent reports whether an order is carried out without an answer.
	silent func(machine string) bool
}

func newCloud(f *fleet, rec *record) *cloud { return &cloud{fleet: f, rec: rec} }

func (c *cloud) add(name, zone, rack string) *machine {
	m := &machine{name: name, zone: zone, rack: rack, state: "up", worker: c.fleet.addWorker(name, zone, rack), done: map[int64]bool{}}
	c.machines = append(c.machines, m)
	return m
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", c.serveMachines)
	mux.HandleFunc("POST /api/machine-upkeep", c.serveUpkeep)
	return mux
}

func (c *cloud) serveMachines(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []any{}
	for _, m := range c.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		list = append(list, map[string]any{"Machine": m.name, "Pool": serviceName, "State": m.state, "Zone": m.zone, "Labels": []string{"a", m.rack},
			"Capacity": map[string]int{"Cpu": 128000, "MemMb": 262144, "Gpu": 8}, "Id": id})
	}
	answer(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string
		Wave    int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("X-Cyclamenyard-Fencing-Token"), 10, 64) // a missing value counts as 0
	holder := r.Header.Get("X-Cyclamenyard-Lease-Holder")
	status, reason := c.upkeep(body.Machine, body.Wave, token)
	c.mu.Lock()
	silent := c.silent != nil && c.silent(body.Machine)
	o := order{at: time.Now(), machine: body.Machine, holder: holder, token: token, status: status}
	if silent {
		o.status = 0
	}
	c.orders = append(c.orders, o)
	c.mu.Unlock()
	c.rec.printf("cloud: upkeep of %s for wave %d by holder %s, token %d -> %d %s, answered: %v", body.Machine, body.Wave, holder, token, status, reason, !silent)
	if silent {
		<-r.Context().Done() // until the caller gives up
		return
	}
	reply := map[string]any{}
	if reason != "" {
		reply["Reason"] = reason
	}
	answer(w, status, reply)
}

// upkeep carries out an order.
func (c *cloud) upkeep(name string, wave int64, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name != name {
			continue
		}
		switch {
		case token < m.token:
			return http.StatusConflict, "fence"
		case m.done[wave]:
			m.token = token
			return http.StatusOK, ""
		case m.state != "up":
			m.token = token
			return http.StatusConflict, "busy"
		}
		m.token, m.done[wave], m.state = token, true, "upkeep"
		down := m.worker
		m.worker = nil
		go func() {
			c.fleet.crash(down)
			time.Sleep(maintenance)
			next := c.fleet.addWorker(m.name, m.zone, m.rack)
			c.mu.Lock()
			defer c.mu.Unlock()
			m.worker, m.state = next, "up"
		}()
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

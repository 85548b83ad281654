package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// maintenance is MaintenanceS of the settings.
const maintenance = 2 * time.Second

// cloud is the platform's interface to the machines. Each worker of the fleet has one.
type cloud struct {
	rec   *record
	fleet *fleet

	mu       sync.Mutex
	machines []*machine
}

type machine struct {
	name   string
	worker *worker
	state  string // up, upkeep or down
	done   map[int64]bool
}

func newCloud(rec *record, f *fleet, workers []*worker) *cloud {
	c := &cloud{rec: rec, fleet: f}
	for _, w := range workers {
		c.machines = append(c.machines, &machine{name: "m-" + w.id[2:], worker: w, state: "up", done: map[int64]bool{}})
	}
	return c
}

// machineOf returns the machine of the worker.
func (c *cloud) machineOf(w *worker) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker == w {
			return m
		}
	}
	return nil
}

// lose takes the machine down for good.
func (c *cloud) lose(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.state = "down"
	m.worker.crash()
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Method == http.MethodGet {
		list := []map[string]any{}
		for _, m := range c.machines {
			list = append(list, map[string]any{"Machine": m.name, "Pool": serviceName, "State": m.state, "Zone": m.worker.zone, "Labels": []string{"a", m.worker.rack},
				"Capacity": map[string]int{"Cpu": 128000, "MemMb": 262144, "Gpu": 8}, "Id": m.worker.id})
		}
		reply(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
		return
	}
	var f struct {
		Machine string
		Wave    int64
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	for _, m := range c.machines {
		if m.name != f.Machine {
			continue
		}
		switch {
		case m.done[f.Wave]:
			reply(w, http.StatusOK, map[string]any{})
		case m.state != "up":
			reply(w, http.StatusConflict, map[string]string{"Reason": "busy"})
		default:
			c.rec.line("cloud: machine %s goes down for its upkeep", m.name)
			m.done[f.Wave], m.state = true, "upkeep"
			m.worker.crash()
			c.fleet.st.remove("servers/" + m.worker.id)
			time.AfterFunc(maintenance, func() { c.back(m) })
			reply(w, http.StatusOK, map[string]any{})
		}
		return
	}
	reply(w, http.StatusBadRequest, nil)
}

// back starts a new worker on the machine after its upkeep.
func (c *cloud) back(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, err := c.fleet.start(m.worker.id+"b", m.worker.zone, m.worker.rack, "", time.Now().UnixMilli())
	if err != nil {
		c.rec.line("cloud: machine %s: %v", m.name, err)
		return
	}
	m.worker, m.state = next, "up"
}

package main

import (
	"net/http"
	"sync"
)

// machine is a machine of the platform.
type machine struct {
	name, zone, rack string
	worker           *worker
}

// cloud is a stand-in of the service that operates the machines. No case asks it for a move or an upkeep.
type cloud struct {
	fleet *fleet

	mu       sync.Mutex
	machines []*machine
}

// add adds a machine with a worker.
func (c *cloud) add(name, zone, rack string) {
	m := &machine{name: name, zone: zone, rack: rack, worker: c.fleet.addWorker(name, zone, rack)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, m)
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", c.serveMachines)
	return mux
}

func (c *cloud) serveMachines(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []any{}
	for _, m := range c.machines {
		list = append(list, map[string]any{"Machine": m.name, "Pool": serviceName, "State": "up", "Zone": m.zone, "Labels": []string{"a", m.rack},
			"Capacity": map[string]int{"Cpu": 128000, "MemMb": 262144, "Gpu": 8}, "Id": m.worker.id})
	}
	answer(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
}

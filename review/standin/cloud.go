package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const maintenance = 2 * time.Second

// cloud is the service that runs the machines. It follows PROTOCOL.md, "Machines".
type cloud struct {
	fleet  *fleet
	outage gate
	// onUpkeep is called after an order has been carried out, before it is answered.
	onUpkeep func(machine string, n int)

	mu     sync.Mutex
	tokens map[string]uint64
	done   map[string]bool // by wave and machine
	orders int
}

func newCloud(f *fleet) *cloud {
	return &cloud{fleet: f, tokens: map[string]uint64{}, done: map[string]bool{}, onUpkeep: func(string, int) {}}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, r *http.Request) {
		c.outage.pass(r)
		time.Sleep(storeLatency)
		list := []any{}
		for _, m := range c.fleet.machines {
			m.mu.Lock()
			id := ""
			if m.state == "up" {
				id = m.worker.id
			}
			list = append(list, map[string]any{"Machine": m.name, "Pool": service, "State": m.state, "Zone": m.zone, "Labels": m.labels,
				"Capacity": map[string]any{"Cpu": 128000, "MemMb": 262144, "Gpu": 8}, "Id": id})
			m.mu.Unlock()
		}
		c.outage.pass(r)
		answer(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
	})
	mux.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, r *http.Request) {
		var form struct {
			Machine string
			Wave    int64
		}
		if json.NewDecoder(r.Body).Decode(&form) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		c.outage.pass(r)
		time.Sleep(storeLatency)
		token, _ := strconv.ParseUint(r.Header.Get("X-Cyclamenyard-Fencing-Token"), 10, 64)
		status, reason := c.upkeep(form.Machine, form.Wave, token)
		c.fleet.record.line("upkeep order machine=%s wave=%d holder=%s token=%d status=%d %s answered=%v", form.Machine, form.Wave,
			r.Header.Get("X-Cyclamenyard-Lease-Holder"), token, status, reason, !c.outage.isClosed())
		c.outage.pass(r)
		answer(w, status, map[string]any{"Reason": reason})
	})
	return mux
}

func (c *cloud) upkeep(name string, wave int64, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.tokens[name] {
		return http.StatusConflict, "fence"
	}
	c.tokens[name] = token
	key := name + "/" + strconv.FormatInt(wave, 10)
	if c.done[key] {
		return http.StatusOK, "" // the operation is already done
	}
	for _, m := range c.fleet.machines {
		if m.name != name {
			continue
		}
		m.mu.Lock()
		up := m.state == "up"
		if up {
			m.state = "upkeep"
		}
		m.mu.Unlock()
		if !up {
			return http.StatusConflict, "busy"
		}
		c.done[key] = true
		c.fleet.kill(m, "upkeep", true)
		time.AfterFunc(maintenance, func() {
			if err := c.fleet.boot(m); err != nil {
				c.fleet.record.line("machine %s not started: %v", m.name, err)
			}
		})
		c.orders++
		c.onUpkeep(name, c.orders)
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// begun reports whether the machine has begun its upkeep for wave 1.
func (c *cloud) begun(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[name+"/1"]
}

package jobstate

import (
	"time"

	"github.com/cyclamenyard/cyclamenyard/workload"
)

// Worker returns the life of the worker with the id, creating one that is not listed if
// none is known. A known life that is older is dropped, with all its runs.
func (c *Cluster) Worker(id string, life int64, now time.Time) *Worker {
	w := c.Workers[id]
	if w != nil && (w.Life == life || life < w.Life) {
		return w
	}
	if w != nil {
		c.Drop(w, now)
	}
	w = &Worker{ID: id, Life: life, Runs: map[*Run]struct{}{}, Strays: map[string]workload.Amount{}, Speed: 1}
	c.Workers[id] = w
	return w
}

// Drop removes a life of a worker. Its runs have surely ended.
func (c *Cluster) Drop(w *Worker, now time.Time) {
	for r := range w.Runs {
		c.End(r, EndLapsed, "", now)
	}
	if c.Workers[w.ID] == w {
		delete(c.Workers, w.ID)
	}
}

// Lapse ends all runs of a worker whose lease has surely run out.
func (c *Cluster) Lapse(w *Worker, now time.Time) {
	for r := range w.Runs {
		if r.Phase != Planned {
			c.End(r, EndLapsed, "", now)
		}
	}
}

// AddStray accounts for a task on the worker that no run of this state stands for.
func (w *Worker) AddStray(task string, room workload.Amount) {
	if _, known := w.Strays[task]; known {
		return
	}
	w.Strays[task] = room
	w.Used = w.Used.Add(room)
}

// RemoveStray gives the room of a stray task back.
func (w *Worker) RemoveStray(task string) {
	if room, known := w.Strays[task]; known {
		delete(w.Strays, task)
		w.Used = w.Used.Sub(room)
	}
}

package faults

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/gateway"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

var capacity = flag.Bool("capacity", false, "measure the control overhead of instances at several sizes of the system (about 5 minutes)")

const (
	measureDuration = 20 * time.Second
	settleDelay     = 15 * time.Second
	commits         = 10
	urgentJobs      = 10
	clockTicks      = 100 // per second, of /proc/<pid>/stat on Linux
)

// size is one size of the system.
type size struct {
	instances, dataCentres, workers, workspaces, tasks int
	slots                                              int // that a task takes on a worker
}

// sizes are today's size, half of the size expected within two years, and that size: idle, with 2,200
// tasks, and with a full fleet, on which urgent jobs have to reclaim their resources.
var sizes = []size{
	{8, 4, 50, 4, 0, 1},
	{8, 4, 50, 4, 175, 1},
	{16, 7, 315, 49, 1100, 1},
	{24, 7, 630, 98, 0, 1},
	{24, 7, 630, 98, 2200, 1},
	{24, 7, 630, 98, 700, 8},
}

// capacityManifest returns the manifest of a fleet of the given size, with racks of 8 workers, one
// guaranteed worker for each workspace, a request service and a job service.
func capacityManifest(s size) structs.Manifest {
	workerCapacity := structs.Resources{Slots: 8, Processors: 128, MemoryMB: 262144, Accelerators: 8}
	m := structs.Manifest{Services: []structs.Service{
		{Name: "rota", Kind: structs.KindRequest, SlotShape: structs.Resources{Slots: 1, Processors: 2, MemoryMB: 1024},
			MaxBody: 1 << 16, MaxAnswer: 1 << 18, Timeout: structs.Duration(5 * time.Second)},
		{Name: "planning", Kind: structs.KindJob, Class: structs.ClassStandard, MaxTasks: 64, MaxBody: 1 << 16, MaxAnswer: 1 << 18,
			Timeout: structs.Duration(6 * time.Hour), Grace: structs.Duration(time.Second)},
	}}
	for i := range s.dataCentres {
		n := s.workers / s.dataCentres
		if i < s.workers%s.dataCentres {
			n++
		}
		m.DataCentres = append(m.DataCentres, structs.DataCentre{
			Name: fmt.Sprintf("dc%d", i), Region: fmt.Sprintf("region%d", i%3), Stage: structs.StageOpen,
			Fleet: structs.FleetSpec{Workers: n, WorkersPerRack: 8, Capacity: workerCapacity, Connections: 64},
		})
	}
	for i := range s.workspaces {
		m.Workspaces = append(m.Workspaces, structs.Workspace{
			Name: fmt.Sprintf("team%02d", i), Weight: 1, MaxQueued: 1000, RatePerSec: 1000,
			Guarantees: []structs.Guarantee{{Name: "base", Count: 1, Shape: structs.Shape{Tasks: 1, Task: structs.Resources{Slots: 8, Processors: 8, MemoryMB: 4096, Accelerators: 8}}}},
		})
	}
	return m
}

// submitFill submits checkpointable jobs until they have s.tasks tasks. They are gangs of at most 64
// tasks, each of which fits into a data centre.
func (c *cluster) submitFill(s size) {
	largest := s.workers / s.dataCentres * 8 / s.slots
	for n, id := s.tasks, 0; n > 0; id++ {
		gang := min([]int{4, 8, 16, 4, 8, 64}[id%6], n, largest)
		n -= gang
		c.submit(id, gateway.JobRequest{
			Workspace: c.manifest.Workspaces[id%len(c.manifest.Workspaces)].Name, Service: "planning", RequestID: fmt.Sprintf("fill-%d", id),
			Checkpoint: true, Idempotent: true, DeclaredMS: time.Hour.Milliseconds(),
			Shape:   structs.Shape{Tasks: gang, Task: structs.Resources{Slots: s.slots, Processors: 4, MemoryMB: 4096, Accelerators: s.slots}},
			Payload: []byte(`{"run_ms": 3600000}`),
		})
	}
}

func (c *cluster) submit(via int, j gateway.JobRequest) {
	raw, err := json.Marshal(j)
	require.NoError(c.t, err)
	l := load{c: c}
	c.eventually("job "+j.RequestID+" is accepted", func() bool {
		status, answer, err := l.post(c.instances[via%len(c.instances)].info.CallerAddr+"/v1/jobs", string(raw), nil)
		if err == nil && (status == http.StatusAccepted || status == http.StatusConflict) {
			return true
		}
		c.t.Logf("job %s: status %d: %s %v", j.RequestID, status, answer, err)
		return false
	})
}

func (c *cluster) runningTasks() int {
	n := 0
	for _, w := range c.fleet.Workers {
		for _, r := range w.Starts() {
			if r.EndedAt.IsZero() {
				n++
			}
		}
	}
	return n
}

// usage is the resource usage of one instance since its start.
type usage struct {
	cpu      time.Duration
	memory   int64 // resident, bytes
	counters map[string]int64
}

func (c *cluster) usage(p *process) usage {
	u := usage{counters: map[string]int64{}}
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(c.t, err)
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	const utime, stime, rss = 11, 12, 21 // fields of /proc/<pid>/stat after the command
	ticks := atoi(c.t, f[utime]) + atoi(c.t, f[stime])
	u.cpu = time.Duration(ticks) * time.Second / clockTicks
	u.memory = atoi(c.t, f[rss]) * int64(os.Getpagesize())
	resp, err := c.client.Get("http://" + p.info.AdminAddr + "/metrics")
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var all map[string]struct {
		Count float64 `json:"count"`
	}
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&all))
	for name, m := range all {
		u.counters[name] = int64(m.Count)
	}
	return u
}

func atoi(t testing.TB, s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	require.NoError(t, err)
	return n
}

// TestCapacity prints the control overhead of the instances. It makes no assertion about speed and fails
// only if the system does not reach the given size.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("run with -args -capacity")
	}
	fmt.Println("| instances | data centres | workers | workspaces | tasks running | CPU of a core, mean and max | memory max | control sent, mean and max | store calls | worker calls | in force everywhere, max of 10 | urgent start, max of 10 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d-workers-%d-tasks-%d-slots", s.workers, s.tasks, s.slots), func(t *testing.T) { measureSize(t, s) })
	}
}

func measureSize(t *testing.T, s size) {
	c := newCluster(t, s.instances, capacityManifest(s))
	c.submitFill(s)
	time.Sleep(settleDelay)
	running := c.runningTasks()
	var before, after []usage
	for _, p := range c.instances {
		before = append(before, c.usage(p))
	}
	storeBefore, start := c.store.Calls(), time.Now()
	time.Sleep(measureDuration)
	for _, p := range c.instances {
		after = append(after, c.usage(p))
	}
	elapsed := time.Since(start)
	storeAfter := c.store.Calls()
	calls := map[string]float64{}
	for name, n := range storeAfter {
		calls[name] = float64(n-storeBefore[name]) / elapsed.Seconds()
	}
	delete(calls, "watch-wake")
	cpuMean, cpuMax := meanMax(before, after, func(u usage) float64 { return u.cpu.Seconds() / elapsed.Seconds() * 100 })
	sentMean, sentMax := meanMax(before, after, func(u usage) float64 { return float64(u.counters["peer.control.sent"]) / elapsed.Seconds() })
	workerCalls := 0.0
	memory := int64(0)
	for i := range after {
		memory = max(memory, after[i].memory)
		for name := range after[i].counters {
			if strings.HasPrefix(name, "platform.calls.task/") {
				workerCalls += float64(after[i].counters[name]-before[i].counters[name]) / elapsed.Seconds()
			}
		}
	}
	commitMax := c.commitLatency()
	urgentMax := c.urgentLatency()
	fmt.Printf("| %d | %d | %d | %d | %d | %.2f%%, %.2f%% | %d MB | %.0f B/s, %.0f B/s | %s | %.1f/s | %v | %v |\n",
		s.instances, s.dataCentres, s.workers, s.workspaces, running, cpuMean, cpuMax, memory>>20, sentMean, sentMax,
		formatRates(calls), workerCalls, commitMax.Round(time.Millisecond), urgentMax.Round(time.Millisecond))
}

// meanMax returns the mean and the maximum over the instances of the increase of a value.
func meanMax(before, after []usage, value func(usage) float64) (mean, largest float64) {
	for i := range after {
		v := value(after[i]) - value(before[i])
		mean += v / float64(len(after))
		largest = max(largest, v)
	}
	return mean, largest
}

func formatRates(calls map[string]float64) string {
	total := 0.0
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(calls)) {
		if calls[name] > 0 {
			total += calls[name]
			parts = append(parts, fmt.Sprintf("%s %.1f", name, calls[name]))
		}
	}
	return fmt.Sprintf("%.1f/s (%s)", total, strings.Join(parts, ", "))
}

// commitLatency commits changes that do not affect the work, and returns the longest time until one was
// in force at every instance.
func (c *cluster) commitLatency() time.Duration {
	var longest time.Duration
	for n := range commits {
		m := c.manifest
		m.Workspaces = slices.Clone(m.Workspaces)
		m.Workspaces[0].MaxQueued += n + 1
		longest = max(longest, c.commit(m))
	}
	return longest
}

// urgentLatency submits urgent jobs that guarantees cover, one after the other, and returns the longest
// time from submission to the start on a worker.
func (c *cluster) urgentLatency() time.Duration {
	var longest time.Duration
	for n := range urgentJobs {
		ws := c.manifest.Workspaces[n%len(c.manifest.Workspaces)]
		id := fmt.Sprintf("urgent-%d", n)
		submittedAt := time.Now()
		c.submit(n, gateway.JobRequest{
			Workspace: ws.Name, Service: "planning", RequestID: id, Urgent: true, Idempotent: true, DeclaredMS: 1000,
			Shape: ws.Guarantees[0].Shape, Payload: []byte(`{"run_ms": 500}`),
		})
		var startedAt time.Time
		c.eventually("urgent job "+id+" has started", func() bool {
			for _, w := range c.fleet.Workers {
				for _, r := range w.Starts() {
					if r.Task.Job == ws.Name+"/"+id {
						startedAt = r.StartedAt
						return true
					}
				}
			}
			return false
		})
		longest = max(longest, startedAt.Sub(submittedAt))
	}
	return longest
}

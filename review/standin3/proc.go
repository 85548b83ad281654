package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	processMu sync.Mutex
	processes []*exec.Cmd
	ending    bool // no process is started any more
)

// endProcesses ends all processes that were started.
func endProcesses() {
	processMu.Lock()
	defer processMu.Unlock()
	ending = true
	for _, p := range processes {
		if p.ProcessState == nil {
			_ = p.Process.Kill() // it may have ended meanwhile
		}
	}
}

// instance is a process of the system with its addresses.
type instance struct {
	sys      *system
	name     string
	zone     string
	ip       string
	ports    [5]int // front, ready, control, then the two of PortRange
	settings string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	restarts bool
	ends     []string // how its processes have ended
}

// system is the system under test with the platform around it.
type system struct {
	rec       *record
	dir       string
	root      string // of the repository
	run       []string
	store     *store
	fleet     *fleet
	cloud     *cloud
	storeAddr string
	cloudAddr string
	instances []*instance
	ipBase    int
	// restartDelay is the time between the end of a process and its restart.
	restartDelay time.Duration
}

const serviceName = "raeumdienst"

func newSystem(rec *record, root string) *system {
	dir, err := os.MkdirTemp("", "cyclamenyard-review")
	if err != nil {
		rec.fail("%v", err)
	}
	s := &system{rec: rec, dir: dir, root: root, store: newStore(), ipBase: 2, restartDelay: 300 * time.Millisecond}
	s.run = deployedCommand(rec, root)
	go s.store.run()
	s.fleet = newFleet(s.store, rec)
	s.cloud = &cloud{fleet: s.fleet}
	s.storeAddr = listen(rec, s.store.handler())
	s.cloudAddr = listen(rec, s.cloud.handler())
	return s
}

// deployedCommand returns the command of the role in the deploy file.
func deployedCommand(rec *record, root string) []string {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		rec.fail("%v", err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(rest), `"`))
		}
	}
	rec.fail("the deploy file has no run command")
	return nil
}

func listen(rec *record, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rec.fail("%v", err)
	}
	go func() { _ = http.Serve(l, h) }() // until the process ends
	return l.Addr().String()
}

// freePorts returns n ports in a row that are free on the address.
func freePorts(rec *record, ip string, n int) int {
	for range 200 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			rec.fail("%v", err)
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close() // the ports are only searched here
		free := first+n < 65_000
		for k := 0; free && k < n; k++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+k))
			if err != nil {
				free = false
				break
			}
			_ = l.Close() // as above
		}
		if free {
			return first
		}
	}
	rec.fail("no free ports")
	return 0
}

// addInstance adds an instance. start starts it.
func (s *system) addInstance(zone string) *instance {
	ip := fmt.Sprintf("127.0.0.%d", s.ipBase+len(s.instances))
	first := freePorts(s.rec, ip, 5)
	i := &instance{sys: s, name: fmt.Sprintf("front-%s-%d", zone, len(s.instances)+1), zone: zone, ip: ip,
		ports: [5]int{first, first + 1, first + 2, first + 3, first + 4}}
	i.settings = filepath.Join(s.dir, i.name+".yaml")
	if err := os.WriteFile(i.settings, []byte(i.text()), 0o644); err != nil {
		s.rec.fail("%v", err)
	}
	s.instances = append(s.instances, i)
	return i
}

// text returns the settings file, with the bounds of the smaller deployments.
func (i *instance) text() string {
	return fmt.Sprintf(`Node: %q
Role: "entry"
MachineClass: "front"
Serves:
  - "front"
Ip: %q
Zone: %q
Region: "bayern"
Zones:
  oberbayern: "bayern"
  niederbayern: "bayern"
Listen:
  Front: "%s:%d"
  Ready: "%s:%d"
  Control: "%s:%d"
PortRange:
  - %d
  - %d
Seeds: []
Bootstrap: true
CountsAsLoss: false
Limits:
  CpuShare: 0.4
  Cores: 1
  MemoryMb: 284
  MaxFds: 4100
  LinkMbps: 1000.0
  DiskMb: 0
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1500
FaultTolerance:
  Machines: 1
  Zones: 1
  Regions: 0
Bounds:
  ContactMs: 3000
  AckTimeoutMs: 4000
  DrainMs: 2000
  GraceS: 6
  LossSlackMs: 200
  ConfigApplyMs: 2000
  HoldMaxMs: 10000
  StopTimeoutMs: 200
  GangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  FarFactor: 3
  CheckpointS: 2
  RestoreMs: 100
  MoveS: 1.5
  MaintenanceS: 2
  FencingRequired: true
  LeaseMs: 3000
  ThawSlackMs: 300
  PaceMs: 100
  HarmMs: 4000
  ReclaimMs: 2700
Orders: "call"
platform:
  Address: %q
  form: "kv"
  WritesPerS: 400
  ReadsPerS: 2000
  HistoryS: 20
  ValueBytes: 1048576
  TtlMinMs: 1000
Cloud:
  Address: %q
  RatePerS: 60.0
  Duties: []
  DutiesPerS: 60.0
`, i.name, i.ip, i.zone, i.ip, i.ports[0], i.ip, i.ports[1], i.ip, i.ports[2], i.ports[3], i.ports[4], i.sys.storeAddr, i.sys.cloudAddr)
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, i.ports[0]) }
func (i *instance) ready() string { return fmt.Sprintf("%s:%d", i.ip, i.ports[1]) }

// start starts the process, and starts it again when it has ended.
func (i *instance) start() {
	i.mu.Lock()
	i.restarts = true
	i.mu.Unlock()
	i.launch()
}

func (i *instance) launch() {
	log, err := os.OpenFile(filepath.Join(i.sys.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		i.sys.rec.fail("%v", err)
	}
	cmd := exec.Command(filepath.Join(i.sys.root, i.sys.run[0]), i.sys.run[1:]...)
	cmd.Dir = i.sys.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENYARD_CONFIG=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	processMu.Lock()
	if ending {
		processMu.Unlock()
		return
	}
	err = cmd.Start()
	if err == nil {
		processes = append(processes, cmd)
	}
	processMu.Unlock()
	if err != nil {
		i.sys.rec.fail("start of %s: %v", i.name, err)
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	i.sys.rec.printf("%s: process %d started", i.name, cmd.Process.Pid)
	go func() {
		waitErr := cmd.Wait()
		_ = log.Close() // the process has ended
		how := "exit code 0"
		if waitErr != nil {
			how = waitErr.Error()
		}
		i.sys.rec.printf("%s: process %d ended: %s", i.name, cmd.Process.Pid, how)
		i.mu.Lock()
		i.ends = append(i.ends, how)
		again := i.restarts
		i.mu.Unlock()
		close(exited)
		if again {
			time.Sleep(i.sys.restartDelay)
			i.launch()
		}
	}()
}

// firstEnd returns how the first process has ended.
func (i *instance) firstEnd() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.ends) == 0 {
		return "it runs"
	}
	return i.ends[0]
}

// signal sends a signal to the process.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	cmd := i.cmd
	i.mu.Unlock()
	i.sys.rec.printf("%s: %v sent to process %d", i.name, sig, cmd.Process.Pid)
	_ = cmd.Process.Signal(sig) // it may have ended
}

// owner returns the instance that the store shows as the elected one, or nil.
func (s *system) owner() *instance {
	value := s.store.value("cy/owner")
	n := slices.IndexFunc(s.instances, func(i *instance) bool { return value != "" && strings.Contains(value, fmt.Sprintf("%q", i.name)) })
	if n < 0 {
		return nil
	}
	return s.instances[n]
}

// waitFor waits until the condition holds, and reports whether it did in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// awaitReady waits until all instances are ready and one is elected.
func (s *system) awaitReady() {
	ready := func(i *instance) bool {
		c := http.Client{Timeout: time.Second}
		resp, err := c.Get("http://" + i.ready() + "/api/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close() // only the status is of interest
		return resp.StatusCode == http.StatusOK
	}
	for _, i := range s.instances {
		if i.cmd != nil && !waitFor(20*time.Second, func() bool { return ready(i) }) {
			s.rec.fail("%s is not ready", i.name)
		}
	}
	if !waitFor(10*time.Second, func() bool { return s.owner() != nil }) {
		s.rec.fail("no instance was elected")
	}
}

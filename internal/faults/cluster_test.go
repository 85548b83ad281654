package faults

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/examples"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	listLag           = time.Second
	probeInterval     = 500 * time.Millisecond
	requestDuration   = 10 * time.Millisecond
	eventuallyTimeout = 40 * time.Second
	pollInterval      = 50 * time.Millisecond
)

// cluster is a set of instance processes, with stand-ins for the platform and the workers.
type cluster struct {
	t         testing.TB
	binary    string
	manifest  structs.Manifest
	store     *standin.Store
	list      *standin.List
	platform  *standin.Server
	fleet     *standin.Fleet
	instances []*process
	client    http.Client
}

// process is one instance, which may be restarted. mu guards the fields below it.
type process struct {
	info    structs.Instance
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	exitErr error
}

// verbandManifest returns the example manifest of the Verband.
func verbandManifest(t testing.TB) structs.Manifest {
	m, err := manifest.Parse(examples.Verband)
	require.NoError(t, err)
	return m
}

// newCluster builds the binary, starts stand-ins for the platform and the manifest's fleet, starts n
// instances and commits the manifest. It returns once every data centre has an owner.
func newCluster(t testing.TB, n int, m structs.Manifest) *cluster {
	c := &cluster{t: t, store: standin.NewStore(), list: standin.NewList(listLag), binary: filepath.Join(t.TempDir(), "cyclamenyard")}
	c.client.Timeout = 20 * time.Second
	out, err := exec.Command("go", "build", "-o", c.binary, "github.com/cyclamenyard/cyclamenyard/cmd/cyclamenyard").CombinedOutput()
	require.NoError(t, err, string(out))
	c.manifest = m
	c.fleet, err = standin.StartFleet(c.manifest, requestDuration)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.fleet.Close() })
	c.list.SetWorkers(c.fleet.WorkerInfos())
	c.platform, err = standin.Serve("127.0.0.1:0", standin.PlatformHandler(c.store, c.list))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.platform.Close() })
	var infos []structs.Instance
	for i := range n {
		p := &process{}
		c.instances = append(c.instances, p)
		c.startNew(p, i)
		infos = append(infos, p.info)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	prober := standin.Prober{List: c.list, Instances: infos, Interval: probeInterval}
	go prober.Run(ctx)
	c.eventually("the first commit is accepted", func() bool { return c.apply(0, c.manifest) == nil })
	c.eventually("every data centre has an owner", func() bool {
		s, err := c.status(0)
		return err == nil && len(s.DataCentresWithOwner()) == len(c.manifest.DataCentres)
	})
	return c
}

// instanceInfo returns the i-th instance, with ports that are free now. Another process may take one
// before the instance listens on it; see startNew and startAndWait.
func (c *cluster) instanceInfo(i int) structs.Instance {
	var addresses [3]string
	var listeners [3]net.Listener
	for n := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(c.t, err)
		addresses[n], listeners[n] = l.Addr().String(), l
	}
	for _, l := range listeners {
		require.NoError(c.t, l.Close())
	}
	return structs.Instance{
		ID: fmt.Sprintf("entry-%d", i+1), DataCentre: c.manifest.DataCentres[i%len(c.manifest.DataCentres)].Name,
		CallerAddr: addresses[0], PeerAddr: addresses[1], AdminAddr: addresses[2],
	}
}

func (c *cluster) start(p *process) {
	cmd := exec.Command(c.binary, "serve", "--id", p.info.ID, "--data-centre", p.info.DataCentre,
		"--platform", c.platform.Address, "--listen", p.info.CallerAddr, "--peer-listen", p.info.PeerAddr,
		"--admin-listen", p.info.AdminAddr, "--list-lag", listLag.String(), "--drain-timeout", "30s", "--log-level", logLevel())
	if dir := os.Getenv("FAULTS_LOG_DIR"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, p.info.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		require.NoError(c.t, err)
		cmd.Stderr = f
		defer func() { _ = f.Close() }()
	}
	require.NoError(c.t, cmd.Start())
	p.mu.Lock()
	defer p.mu.Unlock()
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An error means that the process has exited already.
	_ = p.cmd.Process.Signal(s)
}

// wait waits until the process has exited and returns its exit error.
func (p *process) wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// startNew starts the i-th instance for the first time and waits until it is ready. Nothing knows its ports yet, so it
// gets others if it exits: another process may listen on one of them for long.
func (c *cluster) startNew(p *process, i int) {
	p.info = c.instanceInfo(i)
	c.start(p)
	c.t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	c.eventually(p.info.ID+" is ready", func() bool {
		if p.exited() {
			p.info = c.instanceInfo(i)
			c.start(p)
			return false
		}
		return c.ready(p)
	})
}

// startAndWait starts the process and waits until it is ready. A process that exits because one of its
// ports is used by another connection at that moment is started again.
func (c *cluster) startAndWait(p *process) {
	c.start(p)
	c.eventually(p.info.ID+" is ready", func() bool {
		if p.exited() {
			c.start(p)
			return false
		}
		return c.ready(p)
	})
}

func (p *process) exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (c *cluster) ready(p *process) bool {
	resp, err := c.client.Get("http://" + p.info.AdminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if f() {
			return
		}
	}
	c.t.Fatalf("timed out after %v: %s", eventuallyTimeout, what)
}

// logLevel returns the log level of the instances. Decisions are logged only if FAULTS_LOG_DIR is set.
func logLevel() string {
	if os.Getenv("FAULTS_LOG_DIR") != "" {
		return "info"
	}
	return "warn"
}

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
	listLag       = time.Second
	probeInterval = 500 * time.Millisecond
	requestTime   = 10 * time.Millisecond
	waitLimit     = 40 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// cluster is a set of instance processes between callers and stand-ins.
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

// process is one instance process. The lock guards its command and condition.
type process struct {
	info structs.Instance
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// verband returns the Verband's example manifest.
func verband(t testing.TB) structs.Manifest {
	m, err := manifest.Parse(examples.Verband)
	require.NoError(t, err)
	return m
}

// newCluster builds the binary, starts the stand-ins of the manifest's fleet and n
// instances, and commits the manifest.
func newCluster(t testing.TB, n int, m structs.Manifest) *cluster {
	c := &cluster{t: t, store: standin.NewStore(), list: standin.NewList(listLag), binary: filepath.Join(t.TempDir(), "cyclamenyard")}
	c.client.Timeout = 20 * time.Second
	out, err := exec.Command("go", "build", "-o", c.binary, "github.com/cyclamenyard/cyclamenyard/cmd/cyclamenyard").CombinedOutput()
	require.NoError(t, err, string(out))
	c.manifest = m
	c.fleet, err = standin.StartFleet(c.manifest, requestTime)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.fleet.Close() })
	c.list.SetWorkers(c.fleet.WorkerInfos())
	c.platform, err = standin.Serve("127.0.0.1:0", standin.PlatformHandler(c.store, c.list))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.platform.Close() })
	var infos []structs.Instance
	for i := range n {
		p := &process{info: c.instanceInfo(i)}
		c.instances = append(c.instances, p)
		infos = append(infos, p.info)
		c.up(p)
		t.Cleanup(func() { p.signal(syscall.SIGKILL) })
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

// instanceInfo lets the kernel choose ports that are free now; see up for one that is taken
// before the instance listens.
func (c *cluster) instanceInfo(i int) structs.Instance {
	var addresses [3]string
	for n := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(c.t, err)
		addresses[n] = l.Addr().String()
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
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The process may have ended already.
	_ = p.cmd.Process.Signal(s)
}

// stopped waits for the end of the process and returns its error.
func (p *process) stopped() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// up starts the process and waits until it is ready. A process that ends, because another one
// uses its port for a connection at that moment, is started again.
func (c *cluster) up(p *process) {
	c.start(p)
	c.eventually(p.info.ID+" is ready", func() bool {
		if p.ended() {
			c.start(p)
			return false
		}
		return c.ready(p)
	})
}

func (p *process) ended() bool {
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
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(pollInterval) {
		if f() {
			return
		}
	}
	c.t.Fatalf("not within %v: %s", waitLimit, what)
}

// logLevel is that of the instances: their decisions are logged only where a directory for
// the logs is given.
func logLevel() string {
	if os.Getenv("FAULTS_LOG_DIR") != "" {
		return "info"
	}
	return "warn"
}

package cli

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenyard/cyclamenyard/events"
	"github.com/cyclamenyard/cyclamenyard/examples"
	"github.com/cyclamenyard/cyclamenyard/internal/testplatform"
	"github.com/cyclamenyard/cyclamenyard/internal/testports"
	"github.com/cyclamenyard/cyclamenyard/platform"
	"github.com/cyclamenyard/cyclamenyard/platform/httpstore"
	"github.com/cyclamenyard/cyclamenyard/standin"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

const (
	// observeTimeout limits the wait for a state of a process. It is no bound of the program.
	observeTimeout = 30 * time.Second
	observeTick    = 5 * time.Millisecond
	// startAttempts is how often a process is started on other ports after one of them was taken.
	startAttempts = 5
	// graceSeconds is the time between SIGTERM and SIGKILL in the settings of the processes.
	graceSeconds = 3
)

// process is a run of the program in a process of its own.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // of the end of the process; valid once exited is closed

	mu     sync.Mutex
	output bytes.Buffer // standard output and standard error
}

// Write implements io.Writer.
func (p *process) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(text)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// startProcess starts the program. Its output goes to logs, or is collected if logs is nil.
func startProcess(t require.TestingT, logs *os.File, args ...string) *process {
	p := &process{cmd: exec.Command("cyclamenyard", args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if logs != nil {
		p.cmd.Stdout, p.cmd.Stderr = logs, logs
	}
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		p.err = p.cmd.Wait()
	}()
	return p
}

// end kills the process if it has not exited.
func (p *process) end() {
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.exited
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) } // the process may have exited

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// count returns how often the process has logged the event.
func (p *process) count(id events.ID) int {
	return strings.Count(p.text(), fmt.Sprintf(`"event":%d}`, id))
}

func (p *process) logged(id events.ID) bool { return p.count(id) > 0 }

// awaitEvent waits until the process has logged the event.
func (p *process) awaitEvent(t require.TestingT, id events.ID) {
	await(t, fmt.Sprint("event ", id), func() bool { return p.logged(id) || p.hasExited() })
	require.True(t, p.logged(id), "the process ended without event %d: %v\n%s", id, p.err, p.text())
}

// awaitExit waits until the process has exited.
func (p *process) awaitExit(t require.TestingT) {
	select {
	case <-p.exited:
	case <-time.After(observeTimeout):
		require.FailNow(t, "the process does not end", p.text())
	}
}

// requireGracefulEnd waits until the process has exited, and checks its exit code and its last log lines.
func (p *process) requireGracefulEnd(t require.TestingT) {
	p.awaitExit(t)
	require.NoError(t, p.err, "the process did not end by itself with exit code 0:\n%s", p.text())
	require.True(t, p.logged(events.ProcessStopped), "the last log lines are missing:\n%s", p.text())
}

func await(t require.TestingT, what string, condition func() bool) {
	for until := time.Now().Add(observeTimeout); !condition(); time.Sleep(observeTick) {
		require.True(t, time.Now().Before(until), "not observed: %s", what)
	}
}

// system is a process that serves callers, with the platform around it.
type system struct {
	*process
	callers  string               // address
	admin    string               // address
	ready    string               // URL that answers 200 while the process is ready
	settings string               // path of the settings file; empty for serve
	store    *testplatform.Client // of the store of `cyclamenyard platform`
}

// listens reports whether the process accepts connections of callers.
func (s *system) listens() bool {
	conn, err := net.Dial("tcp", s.callers)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

func (s *system) isReady() bool {
	resp, err := http.Get(s.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is of interest
	return resp.StatusCode == http.StatusOK
}

const (
	testHost      = "rota.example"
	configuration = `{"Version":1,"Routes":[{"Name":"urgent","Host":"` + testHost + `","PathPrefix":"/urgent/","TimeoutMs":30000,
"TargetLatencyMs":1000,"Service":"service","MaxAttempts":4,"Stretch":1.5}],"Services":[{"Name":"service"}],
"Limits":{"MaxBodyBytes":262144},"Tenants":[{"Name":"team","ApiKeys":["key"]}]}`
)

// platformSettings writes a settings file for `cyclamenyard platform`, with free ports and a store that holds a configuration.
func platformSettings(t *testing.T) *system {
	store := testplatform.NewStore()
	store.Put(platform.OperatorPrefix+"config", []byte(configuration))
	client := store.NewClient()
	server := httptest.NewServer(httpstore.Handler(client))
	t.Cleanup(server.Close)
	first, err := testports.Adjacent(4)
	require.NoError(t, err)
	s := &system{callers: testports.Address(first), admin: testports.Address(first + 3), ready: "http://" + testports.Address(first+1) + "/api/ready", settings: filepath.Join(t.TempDir(), "settings.yaml"), store: client}
	text := fmt.Sprintf("Node: front-1\nIp: 127.0.0.1\nZone: zone-1\nListen:\n  Front: %q\n  Ready: %q\nPortRange: [%d, %d]\n"+
		"Limits: {CpuShare: 1, MemoryMb: 284, MaxFds: 4100}\nBounds: {GraceS: %d}\nOrders: call\nDiscovery: platform\nplatform: {Address: %q, form: kv}\n",
		s.callers, testports.Address(first+1), first+2, first+3, graceSeconds, server.Listener.Addr())
	require.NoError(t, os.WriteFile(s.settings, []byte(text), 0o600))
	return s
}

// startPlatform starts `cyclamenyard platform` and waits until it is ready.
func startPlatform(t *testing.T, logs *os.File) *system {
	for range startAttempts {
		s := platformSettings(t)
		s.process = startProcess(t, logs, "platform", "--settings", s.settings)
		t.Cleanup(s.end)
		await(t, "readiness", func() bool { return s.hasExited() || s.isReady() })
		if !s.hasExited() {
			return s
		}
		t.Logf("not started: %v\n%s", s.err, s.text())
	}
	require.Fail(t, "not started")
	return nil
}

// startServe starts `cyclamenyard serve` beside stand-ins and waits until it is ready, with a manifest in force.
func startServe(t *testing.T, logs *os.File) *system {
	s := launchServe(t, logs)
	await(t, "a manifest in force", func() bool { return commitManifest(s.admin) || s.hasExited() })
	await(t, "readiness", func() bool { return s.isReady() || s.hasExited() })
	return s
}

// launchServe starts `cyclamenyard serve` beside stand-ins and waits until it listens.
func launchServe(t *testing.T, logs *os.File) *system {
	list := standin.NewList(100 * time.Millisecond)
	fake, err := standin.Serve(testports.Address(0), standin.PlatformHandler(standin.NewStore(), list))
	require.NoError(t, err)
	t.Cleanup(func() { _ = fake.Close() }) // the test is over
	for range startAttempts {
		first, err := testports.Adjacent(3)
		require.NoError(t, err)
		info := structs.Instance{ID: "entry-1", DataCentre: "augsburg", CallerAddr: testports.Address(first), PeerAddr: testports.Address(first + 1), AdminAddr: testports.Address(first + 2)}
		list.SetInstances([]structs.Instance{info})
		s := &system{callers: info.CallerAddr, admin: info.AdminAddr, ready: "http://" + info.AdminAddr + "/readyz"}
		s.process = startProcess(t, logs, "serve", "--id", info.ID, "--data-centre", info.DataCentre, "--platform", fake.Address,
			"--listen", info.CallerAddr, "--peer-listen", info.PeerAddr, "--admin-listen", info.AdminAddr, "--list-lag", "500ms", "--drain-timeout", "20s")
		t.Cleanup(s.end)
		await(t, "a listener", func() bool { return s.hasExited() || s.listens() })
		if !s.hasExited() {
			return s
		}
		t.Logf("not started: %v\n%s", s.err, s.text())
	}
	require.Fail(t, "not started")
	return nil
}

// commitManifest commits a manifest and reports whether it was accepted.
func commitManifest(admin string) bool {
	resp, err := http.Post("http://"+admin+"/v1/manifest", "application/yaml", bytes.NewReader(examples.Verband))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is of interest
	return resp.StatusCode == http.StatusOK
}

// openRequest is a request whose body is not complete. The process has read its header.
type openRequest struct {
	conn net.Conn
	sent *bytes.Buffer // the rest of the body
}

const openBody = `{"Spec":"text","Steps":[{"Count":1,"Cpu":100,"MemMb":10}],"workspace":"oberbayern","service":"rota","request_id":"job-1"}`

// openRequest sends a submission but for the end of its body, which the process has asked for.
func (s *system) openRequest(t require.TestingT, path string) *openRequest {
	conn, err := net.Dial("tcp", s.callers)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: key\r\nContent-Type: application/json\r\n"+
		"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", path, testHost, len(openBody))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(observeTimeout)))
	interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err = io.ReadFull(conn, interim) // the handler reads the body
	require.NoError(t, err)
	require.Contains(t, string(interim), "100 Continue")
	return &openRequest{conn: conn, sent: bytes.NewBufferString(openBody)}
}

// answer completes the request and returns the status line, or the error with which the connection ended.
func (r *openRequest) answer() (string, error) {
	defer r.conn.Close()
	if _, err := r.sent.WriteTo(r.conn); err != nil {
		return "", err
	}
	raw, err := io.ReadAll(r.conn)
	if err != nil || len(raw) == 0 {
		return "", fmt.Errorf("no answer: %q, %w", raw, err)
	}
	line, _, _ := strings.Cut(string(raw), "\r\n")
	return line, nil
}

const (
	platformPath = "/urgent/00000000000000a1"
	servePath    = "/v1/jobs"
)

var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

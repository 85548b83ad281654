package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cyclamenyard/cyclamenyard/remote"
)

const (
	benchClients = 32
	benchRate    = 10_000 // requests per second
	benchBatch   = 2_000  // consecutive requests to one target
)

// target is the gateway, or a worker that is called directly.
type target struct {
	client    *http.Client
	url       string
	headers   map[string]string
	latencies *hdrhistogram.Histogram
	allocs    uint64
	sent      int
	elapsed   time.Duration
	cpu       time.Duration // CPU time of the process: client, gateway and worker
	mu        sync.Mutex
}

func (g *target) call(i int) error {
	body := []byte("a plan of sixty-four bytes, as a short request would carry it...")
	r, err := http.NewRequest(http.MethodPost, g.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range g.headers {
		r.Header.Set(k, v)
	}
	r.Header.Set(HeaderRequestID, fmt.Sprint("r", i))
	resp, err := g.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// run sends n requests from benchClients clients at the given rate, or as fast as possible if rate is 0.
func (g *target) run(b *testing.B, n, rate int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, cpu := time.Now(), processCPU()
	var wg sync.WaitGroup
	for c := range benchClients {
		wg.Go(func() {
			local := hdrhistogram.New(1, int64(time.Minute), 3)
			for i := c; i < n; i += benchClients {
				if rate > 0 {
					time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				}
				sent := time.Now()
				if err := g.call(g.sent + i); err != nil {
					b.Error(err)
					return
				}
				_ = local.RecordValue(int64(time.Since(sent)))
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.latencies.Merge(local)
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	g.allocs += after.Mallocs - before.Mallocs
	g.elapsed += time.Since(start)
	g.cpu += processCPU() - cpu
	g.sent += n
}

func processCPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (g *target) report(b *testing.B, name string) {
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(g.latencies.ValueAtQuantile(q))/1e3, fmt.Sprintf("%s-p%.0f-µs", name, q))
	}
	b.ReportMetric(float64(g.allocs)/float64(g.sent), name+"-allocs/req")
	b.ReportMetric(float64(g.cpu.Nanoseconds())/1e3/float64(g.sent), name+"-cpu-µs/req")
	b.ReportMetric(float64(g.sent)/g.elapsed.Seconds(), name+"-req/s")
}

// BenchmarkRequest compares requests through the gateway with direct requests to a worker, in
// alternating batches. Client, gateway and worker run in one process.
func BenchmarkRequest(b *testing.B) {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	logger := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zap.InfoLevel))
	for _, rate := range []int{benchRate, 0} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			f := newFixture(b, 4, 2*benchClients, 0, nil, nil)
			f.log = logger
			web := httptest.NewServer(f.Handler())
			defer web.Close()
			client := func() *http.Client {
				t := remote.NewTransport(0)
				b.Cleanup(t.CloseIdleConnections)
				return &http.Client{Transport: t}
			}
			newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }
			direct := &target{client: client(), latencies: newHistogram(), url: "http://" + f.workers[0].Info().Address + "/v1/run", headers: map[string]string{
				remote.HeaderToken: "1", remote.HeaderAttempt: "a", remote.HeaderGrant: "g", HeaderService: "rota", HeaderWorkspace: "verband",
			}}
			through := &target{client: client(), latencies: newHistogram(), url: web.URL + "/v1/requests", headers: map[string]string{
				HeaderService: "rota", HeaderWorkspace: "verband", HeaderIdempotent: "true",
			}}
			for _, g := range []*target{direct, through} {
				g.run(b, benchBatch, rate) // opens connections and leases slots
				g.latencies.Reset()
				g.allocs, g.elapsed, g.cpu, g.sent = 0, 0, 0, 0
			}
			b.ResetTimer()
			for done := 0; done < b.N; done += benchBatch {
				direct.run(b, min(benchBatch, b.N-done), rate)
				through.run(b, min(benchBatch, b.N-done), rate)
			}
			b.StopTimer()
			direct.report(b, "direct")
			through.report(b, "gateway")
			for _, q := range []float64{50, 99} {
				added := through.latencies.ValueAtQuantile(q) - direct.latencies.ValueAtQuantile(q)
				b.ReportMetric(float64(added)/1e3, fmt.Sprintf("added-p%.0f-µs", q))
			}
		})
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host   = "rota.example"
	apiKey = "key-of-verband"
)

// configuration returns op/config with one tenant and a queue for each priority.
func configuration(version int) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
			"Priority": priority, "Service": serviceName, "MaxAttempts": 3, "Stretch": 3, "Public": false}
	}
	return map[string]any{"Version": version,
		"Routes":   []any{route("shift-check", "/shift/", 0), route("route-replan", "/replan/", 1), route("salt-forecast", "/salt/", 2)},
		"Services": []any{map[string]any{"Name": serviceName, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "AdmissionControl": false, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "verband", "ApiKeys": []string{apiKey}, "Priority": 1, "GuaranteedGpus": map[string]int{"Gpu": 16}}},
	}
}

// reply is the answer to a client's request.
type reply struct {
	status int
	body   string
	err    error
	took   time.Duration
}

var clientHTTP = &http.Client{Timeout: 3 * time.Second}

// send sends one request of a client to an instance.
func (s *system) send(c *http.Client, i *instance, method, path string, body any) reply {
	var in io.Reader
	if body != nil {
		in = bytes.NewReader([]byte(mustJSON(body)))
	}
	req, err := http.NewRequest(method, "http://"+i.front()+path, in)
	if err != nil {
		s.rec.fail("%v", err)
	}
	req.Host = host
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("X-Cyclamenyard-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	r := reply{}
	resp, err := c.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // it was read to its end
		r.status, r.body = resp.StatusCode, string(raw)
	}
	r.err, r.took = err, time.Since(began)
	s.rec.printf("client: %s %s%s at %s %s -> %d %s%s after %d ms", method, host, path, i.name, briefly(body), r.status, bytes.TrimSpace([]byte(r.body)), errText(err), r.took.Milliseconds())
	return r
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf(" error %v", err)
}

func briefly(body any) string {
	if body == nil {
		return ""
	}
	return mustJSON(body)
}

// submit hands a job in, and again after no answer, and reports whether it was accepted.
func (s *system) submit(path string, job map[string]any) bool {
	for n := range 5 {
		r := s.send(clientHTTP, s.instances[n%len(s.instances)], http.MethodPost, path, job)
		if r.status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as the instances show it, or "" without an answer.
func (s *system) state(path string) string {
	for _, i := range s.instances {
		i.mu.Lock()
		started := i.cmd != nil
		i.mu.Unlock()
		if !started {
			continue
		}
		if r := s.send(clientHTTP, i, http.MethodGet, path, nil); r.status == http.StatusOK {
			var form struct{ State string }
			if json.Unmarshal([]byte(r.body), &form) == nil {
				return form.State
			}
		}
	}
	return ""
}

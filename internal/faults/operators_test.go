package faults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cyclamenyard/cyclamenyard/instance"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

func (c *cluster) status(i int) (s instance.Status, err error) {
	resp, err := c.client.Get("http://" + c.instances[i].info.AdminAddr + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// apply commits a manifest at an instance, based on the revision in force there.
func (c *cluster) apply(i int, m structs.Manifest) error {
	text, err := manifest.Encode(m)
	if err != nil {
		return err
	}
	resp, err := c.client.Post("http://"+c.instances[i].info.AdminAddr+"/v1/manifest", "application/yaml", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	return nil
}

// commit commits a manifest and returns the time until it is in force at every instance.
func (c *cluster) commit(m structs.Manifest) time.Duration {
	c.t.Helper()
	start := time.Now()
	c.eventually("the commit is accepted", func() bool { return c.apply(0, m) == nil })
	s, err := c.status(0)
	if err != nil {
		c.t.Fatalf("status: %v", err)
	}
	lastMismatch := ""
	defer func() {
		if c.t.Failed() {
			c.t.Logf("revision %d is not in force: %s", s.Revision, lastMismatch)
		}
	}()
	c.eventually("the manifest is in force everywhere", func() bool {
		for i, p := range c.instances {
			status, err := c.status(i)
			if err != nil || status.Revision < s.Revision {
				lastMismatch = fmt.Sprintf("%s: %v, config %+v, members %+v", p.info.ID, err, status.Config, status.Members)
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

func (c *cluster) withStage(dataCentre string, stage structs.Stage) structs.Manifest {
	m := c.manifest
	m.DataCentres = slices.Clone(m.DataCentres)
	m.DataCentre(dataCentre).Stage = stage
	return m
}

// raceCommits has two operators commit different manifests at the same time and on the same revision, and
// returns how many commits were accepted and how many were not.
func (c *cluster) raceCommits(rounds int) (accepted, conflicts int) {
	for n := range rounds {
		var results [2]error
		done := make(chan struct{})
		for operator := range results {
			go func() {
				m := c.manifest
				m.Workspaces = slices.Clone(m.Workspaces)
				m.Workspaces[operator].MaxQueued += n + 1
				results[operator] = c.apply(1+operator, m)
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		for _, err := range results {
			if err == nil {
				accepted++
			} else {
				conflicts++
			}
		}
	}
	return accepted, conflicts
}

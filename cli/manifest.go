package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/cyclamenyard/cyclamenyard/errkind"
	"github.com/cyclamenyard/cyclamenyard/manifest"
	"github.com/cyclamenyard/cyclamenyard/structs"
)

// fileArg is the manifest file argument of a command.
type fileArg struct {
	File string `positional-arg-name:"FILE" description:"manifest in YAML"`
}

// read parses and checks the file, and returns its text, the manifest and the fleet report.
func (a fileArg) read() ([]byte, structs.Manifest, manifest.FleetReport, error) {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return nil, structs.Manifest{}, manifest.FleetReport{}, usageError(err)
	}
	m, err := manifest.Parse(text)
	if err == nil {
		err = manifest.Check(m)
	}
	var report manifest.FleetReport
	if err == nil {
		report, err = manifest.CheckFleet(m)
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", a.File, err)
	}
	return text, m, report, err
}

type manifestCheckCommand struct {
	output
	outputFlags
	Args fileArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *manifestCheckCommand) Execute([]string) error {
	_, m, report, err := c.Args.read()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return json.NewEncoder(c.out).Encode(report)
	}
	fmt.Fprintf(c.out, "%s: valid: %d data centres, %d workspaces, %d services\n", c.Args.File, len(m.DataCentres), len(m.Workspaces), len(m.Services))
	_, err = fmt.Fprintln(c.out, report)
	return err
}

type manifestApplyCommand struct {
	output
	outputFlags
	adminFlags
	Expect *uint64 `long:"expect" description:"revision that the manifest is based on; default: the one in force at the instance"`
	Args   fileArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *manifestApplyCommand) Execute([]string) error {
	text, _, _, err := c.Args.read()
	if err != nil {
		return err
	}
	path := "/v1/manifest"
	if c.Expect != nil {
		path += "?expect=" + strconv.FormatUint(*c.Expect, 10)
	}
	raw, err := c.call(http.MethodPost, path, text)
	var refused *adminError
	if errors.As(err, &refused) && refused.Kind == errkind.ManifestConflict {
		return &exitError{code: ExitConflict, err: err}
	}
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err = fmt.Fprintln(c.out, string(raw))
		return err
	}
	return renderCommit(c.out, raw)
}

type manifestShowCommand struct {
	output
	outputFlags
	adminFlags
}

// Execute implements flags.Commander.
func (c *manifestShowCommand) Execute([]string) error {
	raw, err := c.call(http.MethodGet, "/v1/manifest", nil)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err = fmt.Fprintln(c.out, string(raw))
		return err
	}
	var r structs.Revision
	if err := json.Unmarshal(raw, &r); err != nil {
		return fmt.Errorf("admin listener %s: %w", c.Admin, err)
	}
	text, err := manifest.Encode(r.Manifest)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "# revision %d, commit %s\n%s", r.Number, r.CommitID, text)
	return err
}

// Package manifest parses, validates, compares and encodes the manifest, and apportions its
// guarantees to data centres.
package manifest

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"

	"github.com/cyclamenyard/cyclamenyard/structs"
)

// MaxBytes is the maximum size of a YAML document. The store holds values up to 1 MB, and the JSON
// form of a manifest is at most about twice as long as its YAML form.
const MaxBytes = 400 << 10

// Parse decodes one YAML document. Unknown and repeated fields are errors. Parse does not validate
// values; see Check.
func Parse(document []byte) (structs.Manifest, error) {
	var m structs.Manifest
	if len(document) > MaxBytes {
		return m, fmt.Errorf("manifest: size %d bytes: must be at most %d", len(document), MaxBytes)
	}
	d := yaml.NewDecoder(bytes.NewReader(document), yaml.Strict())
	if err := d.Decode(&m); err != nil {
		if errors.Is(err, io.EOF) {
			return structs.Manifest{}, errors.New("manifest: the document is empty")
		}
		return structs.Manifest{}, syntaxError(err)
	}
	if err := d.Decode(&structs.Manifest{}); !errors.Is(err, io.EOF) {
		return structs.Manifest{}, errors.New("manifest: must be a single YAML document")
	}
	return m, nil
}

// syntaxError adds the line, column and value to a YAML error.
func syntaxError(err error) error {
	var y yaml.Error
	if !errors.As(err, &y) || y.GetToken() == nil {
		return fmt.Errorf("manifest: %w", err)
	}
	t := y.GetToken()
	return fmt.Errorf("manifest: line %d, column %d: value %q: %s", t.Position.Line, t.Position.Column, t.Value, y.GetMessage())
}

// Encode returns m as YAML that Parse decodes to an equal manifest.
func Encode(m structs.Manifest) ([]byte, error) {
	return yaml.Marshal(m)
}

// Withdrawn returns the names of the data centres in which a allows starts and b does not.
func Withdrawn(a, b structs.Manifest) []string {
	var names []string
	for _, dc := range a.DataCentres {
		next := b.DataCentre(dc.Name)
		if dc.Stage.AllowsStarts() && (next == nil || !next.Stage.AllowsStarts()) {
			names = append(names, dc.Name)
		}
	}
	return names
}

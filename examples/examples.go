// Package examples holds the example manifests, for the demo and for tests.
package examples

import _ "embed"

// Verband is the manifest at the size of the Verband Bayerischer Winterdienstbetriebe.
//
//go:embed verband.yaml
var Verband []byte

// Brazos is the manifest at the size of Brazos Gavel Minutes.
//
//go:embed brazos.yaml
var Brazos []byte

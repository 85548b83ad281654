// Package examples embeds the example manifests for the demo and the tests.
package examples

import _ "embed"

// Verband is a manifest of the size of the Verband Bayerischer Winterdienstbetriebe's system.
//
//go:embed verband.yaml
var Verband []byte

// Brazos is a manifest of the size of Brazos Gavel Minutes' system.
//
//go:embed brazos.yaml
var Brazos []byte

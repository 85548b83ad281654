// Package runtimes estimates how long tasks run, from what submissions declare and from runs that have ended. It
// performs no I/O and has no clock.
package runtimes

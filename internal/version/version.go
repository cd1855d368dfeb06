// Package version holds the version of the programs.
package version

import "runtime"

// Number is the version of the programs, without the Go version.
const Number = "0.1.0"

// String returns the version of the programs and the version of Go that they were built with.
func String() string { return Number + " (" + runtime.Version() + ")" }

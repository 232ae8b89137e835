// Package bwseed configures the property tests, which use pgregory.net/rapid. The seed is fixed by
// default, so that continuous integration gets the same result on every run; longer runs can
// choose another seed and number of checks through the environment.
package bwseed

import (
	"flag"
	"os"

	// rapid registers the flags that Configure sets.
	_ "pgregory.net/rapid"
)

// Environment variables that override the defaults of Configure.
const (
	// EnvironmentSeed overrides the seed; with 0, each run uses a new random seed.
	EnvironmentSeed = "BASILWOOD_FUZZ_SEED"
	// EnvironmentChecks overrides the number of checks per property.
	EnvironmentChecks = "BASILWOOD_FUZZ_CHECKS"
)

const defaultSeed = "20261204"

// Configure parses the command line and then sets the seed and the number of checks of
// pgregory.net/rapid and disables its fail files. It overrides these flags if they are on the
// command line. A test package calls it from TestMain; defaultChecks is the number of checks per
// property without EnvironmentChecks.
func Configure(defaultChecks string) error {
	flag.Parse()
	values := []struct{ name, environment, fallback string }{
		{"rapid.seed", EnvironmentSeed, defaultSeed},
		{"rapid.checks", EnvironmentChecks, defaultChecks},
		{"rapid.nofailfile", "", "true"},
	}
	for _, v := range values {
		value := os.Getenv(v.environment)
		if value == "" {
			value = v.fallback
		}
		if err := flag.Set(v.name, value); err != nil {
			return err
		}
	}
	return nil
}

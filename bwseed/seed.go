// Package bwseed gives the property tests a fixed seed, so that continuous integration
// reaches the same verdict each time, and lets longer runs choose another one.
package bwseed

import (
	"flag"
	"os"

	// The import registers the flags that Configure sets.
	_ "pgregory.net/rapid"
)

// The environment variables of longer runs.
const (
	// EnvironmentSeed replaces the seed; 0 draws a new one for each run.
	EnvironmentSeed = "BASILWOOD_FUZZ_SEED"
	// EnvironmentChecks replaces the number of checks of each property.
	EnvironmentChecks = "BASILWOOD_FUZZ_CHECKS"
)

const defaultSeed = "20261204"

// Configure sets the flags of pgregory.net/rapid. A test package calls it from TestMain;
// checks is the number of checks of each property unless the environment says otherwise.
func Configure(checks string) error {
	flag.Parse()
	values := []struct{ name, environment, fallback string }{
		{"rapid.seed", EnvironmentSeed, defaultSeed},
		{"rapid.checks", EnvironmentChecks, checks},
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

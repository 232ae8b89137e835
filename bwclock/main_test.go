package bwclock_test

import (
	"os"
	"testing"

	"basilwood.example/basilwood/bwseed"
)

func TestMain(m *testing.M) {
	if err := bwseed.Configure("500"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Command basilwood-controller runs a controller, which serves the administration API and
// executes moves and maintenance of hosts.
package main

import (
	"fmt"
	"os"

	"basilwood.example/basilwood/bwcontroller"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwsettings"
	"basilwood.example/basilwood/bwstore"
	"github.com/alecthomas/kingpin/v2"
)

// The rate limits of the store writes of one controller, in writes per second, and their
// burst sizes.
const (
	maintenanceWriteRate    = 30
	maintenanceWriteBurst   = 20
	configurationWriteRate  = 20
	configurationWriteBurst = 20
)

type settings struct {
	id                    string
	dataCentre            string
	administrationAddress string
	operationsAddress     string
	storeURL              string
	platformURL           string
	allowPlaintext        bool
	checkOnly             bool
	log                   bwsettings.Log
}

func main() {
	var s settings
	app := s.commandLine()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s.validate()
	if s.checkOnly {
		fmt.Println("settings are valid")
		return
	}
	if err := s.run(); err != nil {
		fmt.Fprintln(os.Stderr, "basilwood-controller:", err)
		os.Exit(1)
	}
}

func (s *settings) commandLine() *kingpin.Application {
	app := kingpin.New("basilwood-controller", "Serves the administration API and executes moves and maintenance of hosts.")
	app.Flag("id", "Name of this controller, unique among the controllers.").Envar("BASILWOOD_ID").StringVar(&s.id)
	app.Flag("data-centre", "Data centre of this controller.").Envar("BASILWOOD_DATA_CENTRE").StringVar(&s.dataCentre)
	app.Flag("administration-address", "IP address and port of the administration API.").
		Envar("BASILWOOD_ADMINISTRATION_ADDRESS").Default("127.0.0.1:7401").StringVar(&s.administrationAddress)
	app.Flag("operations-address", "IP address and port for metrics, health and the state dump.").
		Envar("BASILWOOD_OPERATIONS_ADDRESS").Default("127.0.0.1:7501").StringVar(&s.operationsAddress)
	app.Flag("store", "URL of the platform's key-value service.").
		Envar("BASILWOOD_STORE").Default("http://127.0.0.1:7001").StringVar(&s.storeURL)
	app.Flag("platform", "URL of the platform.").
		Envar("BASILWOOD_PLATFORM").Default("http://127.0.0.1:7002").StringVar(&s.platformURL)
	app.Flag("allow-plaintext", "Allow non-loopback addresses, whose traffic is not encrypted.").
		Envar("BASILWOOD_ALLOW_PLAINTEXT").BoolVar(&s.allowPlaintext)
	app.Flag("check-settings", "Check the settings and exit.").BoolVar(&s.checkOnly)
	s.log.Register(app)
	return app
}

// validate exits the program with a list of all problems if any setting is invalid.
func (s *settings) validate() {
	var problems bwsettings.Problems
	problems.Check(bwprofile.IsValidName(s.id), "--id %q: use lower-case letters, digits and hyphens", s.id)
	problems.Check(bwprofile.IsValidName(s.dataCentre), "--data-centre %q: use lower-case letters, digits and hyphens", s.dataCentre)
	problems.CheckAddress("administration-address", s.administrationAddress, s.allowPlaintext)
	problems.CheckAddress("operations-address", s.operationsAddress, s.allowPlaintext)
	problems.CheckURL("store", s.storeURL)
	problems.CheckURL("platform", s.platformURL)
	problems.ExitIfAny(os.Stderr)
}

func (s *settings) run() error {
	listeners, err := bwsettings.ListenAll(s.administrationAddress, s.operationsAddress)
	if err != nil {
		return err
	}
	store := bwstore.New(s.storeURL,
		bwstore.WithWriteLimit(bwstore.ClassMaintenance, maintenanceWriteRate, maintenanceWriteBurst),
		bwstore.WithWriteLimit(bwstore.ClassConfiguration, configurationWriteRate, configurationWriteBurst))
	defer store.Close()
	platform := bwplatform.New(s.platformURL)
	defer platform.Close()
	id := bwcontroller.Identity{ID: s.id, DataCentre: s.dataCentre, Address: s.administrationAddress}
	c := bwcontroller.New(id, store, platform, bwcontroller.WithLog(s.log.NewLogger("controller")))
	ctx, cancel := bwsettings.SignalContext()
	defer cancel()
	return c.Run(ctx, bwcontroller.Listeners{Administration: listeners[0], Operations: listeners[1]})
}

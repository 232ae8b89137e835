// Command basilwood-entry runs an entry, the process that serves the requests of callers.
package main

import (
	"fmt"
	"os"
	"time"

	"basilwood.example/basilwood/bwentry"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwqueue"
	"basilwood.example/basilwood/bwsettings"
	"basilwood.example/basilwood/bwstore"
	"github.com/alecthomas/kingpin/v2"
)

// Limits of the store writes of one entry: the writes per second for accounts, and the
// bursts for accounts and claims. The rate for claims is a setting.
const (
	accountWriteRate  = 2
	accountWriteBurst = 4
	claimWriteBurst   = 4
)

type settings struct {
	id                string
	dataCentre        string
	callersAddress    string
	peerAddress       string
	operationsAddress string
	storeURL          string
	platformURL       string
	seeds             []string
	queuePolicy       string
	claimWriteRate    float64
	stopTimeout       time.Duration
	allowPlaintext    bool
	checkOnly         bool
	log               bwsettings.Log
}

func main() {
	var s settings
	app := s.commandLine()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	policy := s.validate()
	if s.checkOnly {
		fmt.Println("settings are valid")
		return
	}
	if err := s.run(policy); err != nil {
		fmt.Fprintln(os.Stderr, "basilwood-entry:", err)
		os.Exit(1)
	}
}

func (s *settings) commandLine() *kingpin.Application {
	app := kingpin.New("basilwood-entry", "Serves the requests of callers on one entry host. On SIGTERM it shuts down gracefully within --stop-timeout.")
	flag := func(name, help string) *kingpin.FlagClause {
		return app.Flag(name, help).Envar(environmentVariable(name))
	}
	flag("id", "Name of this entry, unique among the entries.").StringVar(&s.id)
	flag("data-centre", "Data centre of this entry.").StringVar(&s.dataCentre)
	flag("callers-address", "IP address and port for the HTTP requests of callers.").Default("127.0.0.1:7101").StringVar(&s.callersAddress)
	flag("peer-address", "IP address and port for other entries and controllers.").Default("127.0.0.1:7201").StringVar(&s.peerAddress)
	flag("operations-address", "IP address and port for metrics, health and the state dump.").Default("127.0.0.1:7301").StringVar(&s.operationsAddress)
	flag("store", "URL of the platform's key-value service.").Default("http://127.0.0.1:7001").StringVar(&s.storeURL)
	flag("platform", "URL of the platform.").Default("http://127.0.0.1:7002").StringVar(&s.platformURL)
	flag("seed", "Peer address to load the configuration from while the store is down; repeatable.").StringsVar(&s.seeds)
	flag("queue-policy", "Queue policy: shares, or one of the baselines fifo and priority.").Default("shares").StringVar(&s.queuePolicy)
	flag("claim-writes", "Store writes per second that all entries together may use for claims.").Default("120").Float64Var(&s.claimWriteRate)
	flag("stop-timeout", "Maximum duration of a graceful shutdown.").Default("30s").DurationVar(&s.stopTimeout)
	flag("allow-plaintext", "Allow non-loopback addresses, whose traffic is not encrypted.").BoolVar(&s.allowPlaintext)
	app.Flag("check-settings", "Check the settings and exit.").BoolVar(&s.checkOnly)
	s.log.Register(app)
	return app
}

// environmentVariable returns the environment variable that sets a flag.
func environmentVariable(flag string) string {
	name := []byte("BASILWOOD_" + flag)
	for i, b := range name {
		switch {
		case b == '-':
			name[i] = '_'
		case b >= 'a' && b <= 'z':
			name[i] = b - 'a' + 'A'
		}
	}
	return string(name)
}

// validate returns the queue policy. It exits the program with a list of all problems if any
// setting is invalid.
func (s *settings) validate() bwqueue.Policy {
	var p bwsettings.Problems
	p.Check(bwprofile.IsValidName(s.id), "--id %q: use lower-case letters, digits and hyphens", s.id)
	p.Check(bwprofile.IsValidName(s.dataCentre), "--data-centre %q: use lower-case letters, digits and hyphens", s.dataCentre)
	p.CheckAddress("callers-address", s.callersAddress, s.allowPlaintext)
	p.CheckAddress("peer-address", s.peerAddress, s.allowPlaintext)
	p.CheckAddress("operations-address", s.operationsAddress, s.allowPlaintext)
	for _, seed := range s.seeds {
		p.CheckAddress("seed", seed, s.allowPlaintext)
	}
	p.CheckURL("store", s.storeURL)
	p.CheckURL("platform", s.platformURL)
	p.Check(s.claimWriteRate > 0, "--claim-writes %g: must be positive", s.claimWriteRate)
	p.Check(s.stopTimeout > 0, "--stop-timeout %s: must be positive", s.stopTimeout)
	policy, ok := bwqueue.ParsePolicy(s.queuePolicy)
	p.Check(ok, "--queue-policy %q: must be shares, fifo or priority", s.queuePolicy)
	p.ExitIfAny(os.Stderr)
	return policy
}

func (s *settings) run(policy bwqueue.Policy) error {
	listeners, err := bwsettings.ListenAll(s.callersAddress, s.peerAddress, s.operationsAddress)
	if err != nil {
		return err
	}
	log := s.log.NewLogger("entry")
	store := bwstore.New(s.storeURL,
		bwstore.WithWriteLimit(bwstore.ClassClaims, s.claimWriteRate, claimWriteBurst),
		bwstore.WithWriteLimit(bwstore.ClassAccounts, accountWriteRate, accountWriteBurst))
	defer store.Close()
	platform := bwplatform.New(s.platformURL)
	defer platform.Close()
	id := bwentry.Identity{ID: s.id, DataCentre: s.dataCentre, PeerAddress: s.peerAddress}
	e := bwentry.New(id, store, platform,
		bwentry.WithLog(log),
		bwentry.WithSeeds(s.seeds),
		bwentry.WithQueuePolicy(policy),
		bwentry.WithClaimWriteRate(s.claimWriteRate),
		bwentry.WithStopTimeout(s.stopTimeout))
	ctx, cancel := bwsettings.SignalContext()
	defer cancel()
	isClean, err := e.Run(ctx, bwentry.Listeners{Callers: listeners[0], Peers: listeners[1], Operations: listeners[2]})
	if err != nil {
		return err
	}
	if !isClean {
		return fmt.Errorf("requests were still running after the stop timeout of %s", s.stopTimeout)
	}
	return nil
}

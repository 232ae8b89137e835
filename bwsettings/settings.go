// Package bwsettings holds what the programs share in reading their settings.
//
// Settings come from flags, each with an environment variable. A program checks all of
// them at its start and lists every fault at once.
package bwsettings

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

// ExitSettings is the exit code of a program with faulty settings.
const ExitSettings = 2

// Problems collects the faults of a program's settings. The zero value has none.
type Problems struct {
	list []string
}

// Check records a fault unless ok holds.
func (p *Problems) Check(ok bool, format string, args ...any) {
	if !ok {
		p.list = append(p.list, fmt.Sprintf(format, args...))
	}
}

// CheckAddress records a fault unless value is an IP number and a port. Addresses off
// the loopback network need plaintext to be allowed, because nothing is encrypted yet.
func (p *Problems) CheckAddress(flag, value string, isPlaintextAllowed bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.Check(false, "--%s %q: must be an IP number and a port", flag, value)
		return
	}
	p.Check(a.Addr().IsLoopback() || isPlaintextAllowed,
		"--%s %q: an address off loopback needs --allow-plaintext, since connections are not encrypted", flag, value)
}

// CheckURL records a fault unless value is an http URL without a path.
func (p *Problems) CheckURL(flag, value string) {
	rest, ok := strings.CutPrefix(value, "http://")
	_, err := netip.ParseAddrPort(rest)
	p.Check(ok && err == nil, "--%s %q: must look like http://127.0.0.1:7000", flag, value)
}

// Exit ends the program when there are faults, after printing all of them.
func (p *Problems) Exit(w io.Writer) {
	if len(p.list) == 0 {
		return
	}
	for _, problem := range p.list {
		fmt.Fprintln(w, "settings:", problem)
	}
	os.Exit(ExitSettings)
}

// List returns the faults.
func (p *Problems) List() []string { return p.list }

// Log holds the settings of the log.
type Log struct {
	Format string
	Level  string
}

// Register adds the log's flags to a command line.
func (l *Log) Register(app *kingpin.Application) {
	app.Flag("log-format", "Form of the log on standard error: text or json.").
		Envar("BASILWOOD_LOG_FORMAT").Default("text").EnumVar(&l.Format, "text", "json")
	app.Flag("log-level", "Least level that is logged.").
		Envar("BASILWOOD_LOG_LEVEL").Default("info").EnumVar(&l.Level, "debug", "info", "warn", "error")
}

// Open returns the logger of the program.
func (l *Log) Open(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.Format == "json",
		Output:     os.Stderr,
	})
}

// SignalContext returns a context that ends with SIGTERM or an interrupt.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Listen opens a TCP listener.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("bwsettings").Wrapf(err, "listen on %s", address)
	}
	return l, nil
}

// ListenAll opens a listener for each address, or none.
func ListenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := Listen(address)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

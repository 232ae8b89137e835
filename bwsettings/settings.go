// Package bwsettings implements the parts of reading and checking settings that the commands
// share.
//
// Settings come from command-line flags, many of which can also be set by an environment
// variable; basilwood-node reads most of its settings from a file, through package platform.
// A command checks all settings at startup and reports every problem at once.
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

// ExitSettings is the exit code of a command whose settings are invalid.
const ExitSettings = 2

// Problems collects the problems found in a command's settings. The zero value is empty.
type Problems struct {
	list []string
}

// Check records a problem unless ok is true.
func (p *Problems) Check(ok bool, format string, args ...any) {
	if !ok {
		p.list = append(p.list, fmt.Sprintf(format, args...))
	}
}

// CheckAddress records a problem unless value is an IP address and a port. Connections are
// not encrypted yet, so addresses other than loopback require isPlaintextAllowed.
func (p *Problems) CheckAddress(flag, value string, isPlaintextAllowed bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.Check(false, "--%s %q: must be an IP address and a port", flag, value)
		return
	}
	p.Check(a.Addr().IsLoopback() || isPlaintextAllowed,
		"--%s %q: an address other than loopback requires --allow-plaintext, because connections are not encrypted", flag, value)
}

// CheckURL records a problem unless value is an http URL of an IP address and a port, without
// a path.
func (p *Problems) CheckURL(flag, value string) {
	address, ok := strings.CutPrefix(value, "http://")
	_, err := netip.ParseAddrPort(address)
	p.Check(ok && err == nil, "--%s %q: must look like http://127.0.0.1:7000", flag, value)
}

// ExitIfAny prints all problems and exits with ExitSettings. It returns if there are none.
func (p *Problems) ExitIfAny(w io.Writer) {
	if len(p.list) == 0 {
		return
	}
	for _, problem := range p.list {
		fmt.Fprintln(w, "settings:", problem)
	}
	os.Exit(ExitSettings)
}

// List returns the recorded problems.
func (p *Problems) List() []string { return p.list }

// Log holds the settings for logging.
type Log struct {
	Format string
	Level  string
}

// Register adds the logging flags to app.
func (l *Log) Register(app *kingpin.Application) {
	app.Flag("log-format", "Format of the log on standard error: text or json.").
		Envar("BASILWOOD_LOG_FORMAT").Default("text").EnumVar(&l.Format, "text", "json")
	app.Flag("log-level", "Minimum level that is logged.").
		Envar("BASILWOOD_LOG_LEVEL").Default("info").EnumVar(&l.Level, "debug", "info", "warn", "error")
}

// NewLogger returns a logger that writes to standard error.
func (l *Log) NewLogger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.Format == "json",
		Output:     os.Stderr,
	})
}

// SignalContext returns a context that is cancelled by SIGTERM or an interrupt.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Listen returns a TCP listener on address.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("bwsettings").Wrapf(err, "listen on %s", address)
	}
	return l, nil
}

// ListenAll opens a TCP listener on each address. If one fails, it closes the others.
func ListenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := Listen(address)
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

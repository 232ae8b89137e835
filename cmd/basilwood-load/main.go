// Command basilwood-load generates load against entries, prints a report for each profile
// and checks that replies, accounts and executions are consistent.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"basilwood.example/basilwood/bwload"
	"basilwood.example/basilwood/bwsettings"
	"github.com/alecthomas/kingpin/v2"
)

type settings struct {
	entries         []string
	liveEntries     []string
	targets         []string
	streamSpecs     []string
	duration        time.Duration
	checkDelay      time.Duration
	skipCheck       bool
	seed            uint64
	plotFile        string
	mayMissAccounts bool
}

func main() {
	var s settings
	app := kingpin.New("basilwood-load", "Generates open-loop load against entries and checks that replies, accounts and executions are consistent.")
	app.Flag("entry", "Address on which an entry accepts requests from callers; repeatable.").Required().StringsVar(&s.entries)
	app.Flag("live-entry", "Address of an entry that is still running after the load, from which the check reads accounts; repeatable; default all entries.").StringsVar(&s.liveEntries)
	app.Flag("target", "Address of a stand-in target from which the check reads executions and to which direct streams send requests; repeatable.").StringsVar(&s.targets)
	app.Flag("work", "Stream of requests: profile=P,service=S,rate=R[,callers=N][,timeout=D][,keyed=true][,repeat=X][,direct=true][,from=D][,for=D]; repeatable.").
		Required().StringsVar(&s.streamSpecs)
	app.Flag("duration", "Duration of the load.").Default("10s").DurationVar(&s.duration)
	app.Flag("settle", "Delay between the end of the load and the check.").Default("2s").DurationVar(&s.checkDelay)
	app.Flag("seed", "Seed of the random number generators.").Default("1").Uint64Var(&s.seed)
	app.Flag("skip-check", "Skip the check of replies, accounts and executions.").BoolVar(&s.skipCheck)
	app.Flag("may-miss-accounts", "Do not fail on replies without an account, which are expected after an entry was killed.").BoolVar(&s.mayMissAccounts)
	app.Flag("plot", "PNG file to which a plot of the latencies is written.").StringVar(&s.plotFile)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var problems bwsettings.Problems
	var streams []bwload.Stream
	for _, text := range s.streamSpecs {
		stream, err := bwload.ParseStream(text)
		problems.Check(err == nil, "--work: %v", err)
		streams = append(streams, stream)
	}
	problems.ExitIfAny(os.Stderr)
	if err := s.run(streams); err != nil {
		fmt.Fprintln(os.Stderr, "basilwood-load:", err)
		os.Exit(1)
	}
}

func (s *settings) run(streams []bwload.Stream) error {
	ctx, cancel := bwsettings.SignalContext()
	defer cancel()
	callerPrefix := fmt.Sprintf("load-%d-%d", s.seed, time.Now().UnixMilli())
	replies := bwload.NewRunner(s.entries, streams, s.seed, callerPrefix).WithTargets(s.targets).Run(ctx, s.duration)
	reports := bwload.Reports(replies)
	fmt.Print(bwload.Table(reports))
	if s.plotFile != "" {
		if err := bwload.Plot(reports, s.plotFile); err != nil {
			return err
		}
	}
	if len(s.targets) == 0 || s.skipCheck {
		return nil
	}
	time.Sleep(s.checkDelay)
	return s.check(ctx, replies)
}

func (s *settings) check(ctx context.Context, replies []bwload.Reply) error {
	executions, err := bwload.FetchExecutions(ctx, s.targets)
	if err != nil {
		return err
	}
	liveEntries := s.liveEntries
	if len(liveEntries) == 0 {
		liveEntries = s.entries
	}
	result := bwload.Check(ctx, liveEntries, replies, executions)
	fmt.Println(result)
	for _, d := range result.Disagreements() {
		fmt.Println("DISAGREEMENT:", d)
	}
	if result.MissingAccounts() > 0 && !s.mayMissAccounts {
		return fmt.Errorf("%d replies without an account", result.MissingAccounts())
	}
	if n := len(result.Disagreements()); n > 0 {
		return fmt.Errorf("%d disagreements", n)
	}
	return nil
}

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
	entries  []string
	live     []string
	targets  []string
	works    []string
	duration time.Duration
	settle   time.Duration
	skip     bool
	seed     uint64
	plot     string
	mayMiss  bool
}

func main() {
	var s settings
	app := kingpin.New("basilwood-load", "Generates open-loop load against entries and checks that replies, accounts and executions are consistent.")
	app.Flag("entry", "Address on which an entry accepts requests from callers; repeatable.").Required().StringsVar(&s.entries)
	app.Flag("live-entry", "Address of an entry that is still running after the load, from which the check reads accounts; repeatable; default all entries.").StringsVar(&s.live)
	app.Flag("target", "Address of a stand-in target from which the check reads executions and to which direct streams send; repeatable.").StringsVar(&s.targets)
	app.Flag("work", "Stream of requests: profile=P,service=S,rate=R[,callers=N][,timeout=D][,keyed=true][,repeat=X][,direct=true][,from=D][,for=D]; repeatable.").
		Required().StringsVar(&s.works)
	app.Flag("duration", "Duration of the load.").Default("10s").DurationVar(&s.duration)
	app.Flag("settle", "Delay between the end of the load and the check.").Default("2s").DurationVar(&s.settle)
	app.Flag("seed", "Seed of the random number generators.").Default("1").Uint64Var(&s.seed)
	app.Flag("skip-check", "Skip the check of replies, accounts and executions.").BoolVar(&s.skip)
	app.Flag("may-miss-accounts", "Do not fail on replies without an account, which are expected after an entry was killed.").BoolVar(&s.mayMiss)
	app.Flag("plot", "PNG file to which a plot of the latencies is written.").StringVar(&s.plot)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	var problems bwsettings.Problems
	var works []bwload.Stream
	for _, text := range s.works {
		w, err := bwload.ParseStream(text)
		problems.Check(err == nil, "--work: %v", err)
		works = append(works, w)
	}
	problems.Exit(os.Stderr)
	if err := s.run(works); err != nil {
		fmt.Fprintln(os.Stderr, "basilwood-load:", err)
		os.Exit(1)
	}
}

func (s *settings) run(works []bwload.Stream) error {
	ctx, cancel := bwsettings.SignalContext()
	defer cancel()
	caller := fmt.Sprintf("load-%d-%d", s.seed, time.Now().UnixMilli())
	replies := bwload.NewRunner(s.entries, works, s.seed, caller).WithTargets(s.targets).Run(ctx, s.duration)
	reports := bwload.Reports(replies)
	fmt.Print(bwload.Table(reports))
	if s.plot != "" {
		if err := bwload.Plot(reports, s.plot); err != nil {
			return err
		}
	}
	if len(s.targets) == 0 || s.skip {
		return nil
	}
	time.Sleep(s.settle)
	return s.check(ctx, replies)
}

func (s *settings) check(ctx context.Context, replies []bwload.Reply) error {
	executions, err := bwload.FetchExecutions(ctx, s.targets)
	if err != nil {
		return err
	}
	live := s.live
	if len(live) == 0 {
		live = s.entries
	}
	finding := bwload.Check(ctx, live, replies, executions)
	fmt.Println(finding)
	for _, d := range finding.Disagreements() {
		fmt.Println("DISAGREEMENT:", d)
	}
	if finding.MissingAccounts() > 0 && !s.mayMiss {
		return fmt.Errorf("%d replies without an account", finding.MissingAccounts())
	}
	if n := len(finding.Disagreements()); n > 0 {
		return fmt.Errorf("%d disagreements", n)
	}
	return nil
}

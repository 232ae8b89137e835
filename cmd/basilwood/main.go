// Command basilwood is the operators' command-line client of the administration API.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwadmin"
	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwreport"
	"basilwood.example/basilwood/bwsettings"
	"github.com/alecthomas/kingpin/v2"
)

// The exit codes other than 0 and bwsettings.ExitSettings.
const (
	exitFailure  = 1
	exitConflict = 3
)

const defaultWait = 10 * time.Second

// session holds the API client and the parsed flags and arguments of one invocation.
type session struct {
	controller string
	output     string
	client     *bwadmin.Client

	kind     string
	name     string
	file     string
	fields   []string
	expected int64
	wait     bool
	dryRun   bool
	toPool   string
	request  string
	key      string
	caller   string
	since    time.Duration
	address  string
	// addresses are the operations addresses of the processes that ready waits for.
	addresses []string
	timeout   time.Duration
	// logs are the names of the log files that explain reads.
	logs []string
}

// command runs one command of the command line.
type command func(context.Context) error

func main() {
	s := &session{}
	app := kingpin.New("basilwood", "Operates a basilwood fleet through the administration API of a controller.")
	app.Flag("controller", "URL of a controller.").Envar("BASILWOOD_CONTROLLER").
		Default("http://127.0.0.1:7401").StringVar(&s.controller)
	app.Flag("output", "Form of the output: table or json.").Envar("BASILWOOD_OUTPUT").
		Default("table").EnumVar(&s.output, "table", "json")
	commands := s.register(app)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	var p bwsettings.Problems
	p.CheckURL("controller", s.controller)
	p.Exit(os.Stderr)
	s.client = bwadmin.New(s.controller)
	ctx, cancel := bwsettings.SignalContext()
	defer cancel()
	if err := commands[name](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "basilwood:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var f *bwadmin.APIError
	if errors.As(err, &f) && f.Code() == "conflict" {
		return exitConflict
	}
	return exitFailure
}

// register adds all commands to app and returns them by full name, such as "host move".
func (s *session) register(app *kingpin.Application) map[string]command {
	commands := make(map[string]command)
	for _, kind := range []string{"profile", "team", "pool", "host"} {
		s.registerKind(app, kind, commands)
	}
	s.registerMaintenance(app, commands)

	account := app.Command("account", "Tell what became of a request.")
	account.Flag("request", "Request id.").StringVar(&s.request)
	account.Flag("key", "Idempotency key.").StringVar(&s.key)
	account.Flag("caller", "Caller, with --since.").StringVar(&s.caller)
	account.Flag("since", "How far to look back for a caller.").Default("1h").DurationVar(&s.since)
	commands["account"] = s.account

	app.Command("status", "Show pools, entries and what needs a person.")
	commands["status"] = s.status

	explain := app.Command("explain", "Print what the logs of nodes say of a request or a job, in the order of time.")
	explain.Arg("id", "Id of the request or the job.").Required().StringVar(&s.request)
	explain.Arg("file", "Log files; standard input without any.").StringsVar(&s.logs)
	commands["explain"] = s.explain

	dump := app.Command("dump", "Print the state of one process.")
	dump.Arg("address", "Operations address of the process, such as 127.0.0.1:7301.").Required().StringVar(&s.address)
	commands["dump"] = s.dump

	ready := app.Command("ready", "Wait until processes are ready.")
	ready.Arg("address", "Operations address of a process; repeatable.").Required().StringsVar(&s.addresses)
	ready.Flag("timeout", "Longest wait.").Default("20s").DurationVar(&s.timeout)
	commands["ready"] = s.ready

	apply := app.Command("apply", "Apply a file of teams, pools, hosts and profiles.")
	apply.Flag("file", "YAML or JSON file.").Short('f').Required().StringVar(&s.file)
	apply.Flag("dry-run", "Print what would change and change nothing.").BoolVar(&s.dryRun)
	apply.Flag("wait", "Wait until the changes are in force at every entry.").BoolVar(&s.wait)
	commands["apply"] = s.apply
	return commands
}

// registerKind adds the commands for one kind of value.
func (s *session) registerKind(app *kingpin.Application, kind string, commands map[string]command) {
	plural := kind + "s"
	with := func(f command) command {
		return func(ctx context.Context) error {
			s.kind = plural
			return f(ctx)
		}
	}
	group := app.Command(kind, "List, show, set or delete a "+kind+".")
	group.Command("list", "List every "+kind+".")
	commands[kind+" list"] = with(s.list)

	show := group.Command("show", "Show one "+kind+".")
	show.Arg("name", "Name of the "+kind+".").Required().StringVar(&s.name)
	commands[kind+" show"] = with(s.show)

	set := group.Command("set", "Create a "+kind+" or change fields of it.")
	set.Arg("name", "Name of the "+kind+".").Required().StringVar(&s.name)
	set.Flag("set", "FIELD=VALUE to change; repeatable.").StringsVar(&s.fields)
	set.Flag("file", "YAML or JSON file with the whole value.").Short('f').StringVar(&s.file)
	s.registerChange(set)
	commands[kind+" set"] = with(s.set)

	remove := group.Command("delete", "Delete one "+kind+".")
	remove.Arg("name", "Name of the "+kind+".").Required().StringVar(&s.name)
	s.registerChange(remove)
	commands[kind+" delete"] = with(s.remove)

	if kind == "host" {
		move := group.Command("move", "Move a host to another pool without cutting work.")
		move.Arg("name", "Name of the host.").Required().StringVar(&s.name)
		move.Flag("to", "Pool to move to.").Required().StringVar(&s.toPool)
		s.registerWait(move)
		commands["host move"] = s.move
	}
}

func (s *session) registerChange(c *kingpin.CmdClause) {
	c.Flag("expected-revision", "Change only if the value is at this revision.").Default("-1").Int64Var(&s.expected)
	s.registerWait(c)
}

func (s *session) registerWait(c *kingpin.CmdClause) {
	c.Flag("wait", "Wait until the change is in force at every entry.").BoolVar(&s.wait)
}

func (s *session) registerMaintenance(app *kingpin.Application, commands map[string]command) {
	group := app.Command("maintenance", "Maintain every host of a pool within its budget.")
	for _, action := range []string{"start", "pause", "resume", "cancel"} {
		c := group.Command(action, action+" the wave of a pool.")
		c.Arg("pool", "Name of the pool.").Required().StringVar(&s.name)
		s.registerWait(c)
		commands["maintenance "+action] = func(ctx context.Context) error {
			revision, err := s.client.ChangeWave(ctx, s.name, action)
			return s.accepted(ctx, revision, err)
		}
	}
	status := group.Command("status", "Show the progress of a pool's wave.")
	status.Arg("pool", "Name of the pool.").Required().StringVar(&s.name)
	commands["maintenance status"] = s.maintenance
}

// print writes text to standard output if the output format is table, and v as JSON
// otherwise.
func (s *session) print(v any, text func() string) error {
	if s.output == "table" {
		fmt.Print(text())
		return nil
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// accepted prints the revision of an accepted change and, with --wait, waits until it is in
// force at every entry. It returns err unchanged if the change failed.
func (s *session) accepted(ctx context.Context, revision int64, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("accepted at revision %d\n", revision)
	if !s.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, defaultWait)
	defer cancel()
	if err := s.client.WaitApplied(ctx, revision); err != nil {
		return err
	}
	fmt.Println("in force at every entry")
	return nil
}

func (s *session) list(ctx context.Context) error {
	list, err := s.client.List(ctx, s.kind)
	if err != nil {
		return err
	}
	return s.print(list, func() string { return itemTable(s.kind, list.Items) })
}

func (s *session) show(ctx context.Context) error {
	item, err := s.client.Get(ctx, s.kind, s.name)
	if err != nil {
		return err
	}
	return s.print(item, func() string { return itemText(item) })
}

func (s *session) remove(ctx context.Context) error {
	revision, err := s.client.Delete(ctx, s.kind, s.name, s.expected)
	return s.accepted(ctx, revision, err)
}

func (s *session) move(ctx context.Context) error {
	revision, err := s.client.MoveHost(ctx, s.name, s.toPool)
	return s.accepted(ctx, revision, err)
}

func (s *session) maintenance(ctx context.Context) error {
	m, err := s.client.Maintenance(ctx, s.name)
	if err != nil {
		return err
	}
	return s.print(m, func() string { return bwreport.Maintenance(m) })
}

func (s *session) status(ctx context.Context) error {
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(status, func() string { return bwreport.Status(status) })
}

func (s *session) dump(ctx context.Context) error {
	state, err := bwadmin.DumpState(ctx, s.address)
	if err != nil {
		return err
	}
	fmt.Println(string(state))
	return nil
}

func (s *session) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	for _, address := range s.addresses {
		if err := bwadmin.WaitReady(ctx, address); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) account(ctx context.Context) error {
	query := url.Values{}
	switch {
	case s.request != "":
		query.Set("requestId", s.request)
	case s.key != "":
		query.Set("idempotencyKey", s.key)
	case s.caller != "":
		query.Set("caller", s.caller)
		query.Set("since", time.Now().Add(-s.since).UTC().Format(time.RFC3339))
	default:
		return errors.New("one of --request, --key or --caller (with --since) is required")
	}
	list, err := s.client.Accounts(ctx, query)
	if err != nil {
		return err
	}
	return s.print(list, func() string { return accountText(list.Accounts, list.Complete) })
}

func accountText(accounts []json.RawMessage, isComplete bool) string {
	text := ""
	for _, raw := range accounts {
		a := new(bwaccount.Account)
		if err := bwcodec.Unmarshal(raw, a); err != nil {
			text += "failed to decode account: " + err.Error() + "\n"
			continue
		}
		text += bwreport.Account(a)
	}
	if len(accounts) == 0 {
		text += "No account was found.\n"
	}
	if !isComplete {
		text += "The search is incomplete: an entry or the store did not answer.\n"
	}
	return text
}

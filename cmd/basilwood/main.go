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

const waitTimeout = 10 * time.Second

// invocation holds the API client and the parsed flags and arguments of one run of the
// program.
type invocation struct {
	controller string
	output     string
	client     *bwadmin.Client

	kind             string
	name             string
	file             string
	fieldChanges     []string
	expectedRevision int64
	wait             bool
	dryRun           bool
	toPool           string
	requestOrJobID   string
	idempotencyKey   string
	caller           string
	since            time.Duration
	address          string
	// addresses are the operations addresses of the processes that ready waits for.
	addresses []string
	timeout   time.Duration
	// logFiles are the names of the log files that explain reads.
	logFiles []string
}

// commandFunc runs one command of the command line.
type commandFunc func(context.Context) error

func main() {
	inv := &invocation{}
	app := kingpin.New("basilwood", "Operates a basilwood fleet through the administration API of a controller.")
	app.Flag("controller", "URL of a controller.").Envar("BASILWOOD_CONTROLLER").
		Default("http://127.0.0.1:7401").StringVar(&inv.controller)
	app.Flag("output", "Output format: table or json.").Envar("BASILWOOD_OUTPUT").
		Default("table").EnumVar(&inv.output, "table", "json")
	commands := inv.registerCommands(app)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	var p bwsettings.Problems
	p.CheckURL("controller", inv.controller)
	p.ExitIfAny(os.Stderr)
	inv.client = bwadmin.New(inv.controller)
	ctx, cancel := bwsettings.SignalContext()
	defer cancel()
	if err := commands[name](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "basilwood:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var apiErr *bwadmin.APIError
	if errors.As(err, &apiErr) && apiErr.Code() == "conflict" {
		return exitConflict
	}
	return exitFailure
}

// registerCommands adds all commands to app and returns them by full name, such as
// "host move".
func (inv *invocation) registerCommands(app *kingpin.Application) map[string]commandFunc {
	commands := make(map[string]commandFunc)
	for _, kind := range []string{"profile", "team", "pool", "host"} {
		inv.registerKindCommands(app, kind, commands)
	}
	inv.registerMaintenanceCommands(app, commands)

	account := app.Command("account", "Show the account of a request: its outcome and its events.")
	account.Flag("request", "Request id.").StringVar(&inv.requestOrJobID)
	account.Flag("key", "Idempotency key.").StringVar(&inv.idempotencyKey)
	account.Flag("caller", "Caller whose requests to show, limited by --since.").StringVar(&inv.caller)
	account.Flag("since", "Maximum age of the caller's requests to show.").Default("1h").DurationVar(&inv.since)
	commands["account"] = inv.searchAccounts

	app.Command("status", "Show the pools, the entries and the problems that need an operator's attention.")
	commands["status"] = inv.status

	explain := app.Command("explain", "Print the log lines about a request or a job, sorted by time.")
	explain.Arg("id", "Id of the request or the job.").Required().StringVar(&inv.requestOrJobID)
	explain.Arg("file", "Log files to read; standard input if there are none.").StringsVar(&inv.logFiles)
	commands["explain"] = inv.explain

	dump := app.Command("dump", "Print the state of one process.")
	dump.Arg("address", "Operations address of the process, such as 127.0.0.1:7301.").Required().StringVar(&inv.address)
	commands["dump"] = inv.dumpState

	ready := app.Command("ready", "Wait until processes are ready.")
	ready.Arg("address", "Operations address of a process; repeatable.").Required().StringsVar(&inv.addresses)
	ready.Flag("timeout", "Maximum time to wait.").Default("20s").DurationVar(&inv.timeout)
	commands["ready"] = inv.waitReady

	apply := app.Command("apply", "Apply a file of teams, pools, hosts and profiles.")
	apply.Flag("file", "YAML or JSON file.").Short('f').Required().StringVar(&inv.file)
	apply.Flag("dry-run", "Print what would change and change nothing.").BoolVar(&inv.dryRun)
	apply.Flag("wait", "Wait until the changes are in force at every entry.").BoolVar(&inv.wait)
	commands["apply"] = inv.apply
	return commands
}

// registerKindCommands adds the commands for one kind of value.
func (inv *invocation) registerKindCommands(app *kingpin.Application, kind string, commands map[string]commandFunc) {
	plural := kind + "s"
	withKind := func(f commandFunc) commandFunc {
		return func(ctx context.Context) error {
			inv.kind = plural
			return f(ctx)
		}
	}
	group := app.Command(kind, "List, show, set or delete a "+kind+".")
	group.Command("list", "List every "+kind+".")
	commands[kind+" list"] = withKind(inv.list)

	show := group.Command("show", "Show one "+kind+".")
	show.Arg("name", "Name of the "+kind+".").Required().StringVar(&inv.name)
	commands[kind+" show"] = withKind(inv.show)

	set := group.Command("set", "Create a "+kind+" or change its fields.")
	set.Arg("name", "Name of the "+kind+".").Required().StringVar(&inv.name)
	set.Flag("set", "FIELD=VALUE to change; repeatable.").StringsVar(&inv.fieldChanges)
	set.Flag("file", "YAML or JSON file with the whole value.").Short('f').StringVar(&inv.file)
	inv.registerChangeFlags(set)
	commands[kind+" set"] = withKind(inv.set)

	remove := group.Command("delete", "Delete one "+kind+".")
	remove.Arg("name", "Name of the "+kind+".").Required().StringVar(&inv.name)
	inv.registerChangeFlags(remove)
	commands[kind+" delete"] = withKind(inv.remove)

	if kind == "host" {
		move := group.Command("move", "Move a host to another pool without interrupting requests.")
		move.Arg("name", "Name of the host.").Required().StringVar(&inv.name)
		move.Flag("to", "Pool to move to.").Required().StringVar(&inv.toPool)
		inv.registerWaitFlag(move)
		commands["host move"] = inv.move
	}
}

func (inv *invocation) registerChangeFlags(c *kingpin.CmdClause) {
	c.Flag("expected-revision", "Change the value only if it is at this revision; -1 accepts any revision.").Default("-1").Int64Var(&inv.expectedRevision)
	inv.registerWaitFlag(c)
}

func (inv *invocation) registerWaitFlag(c *kingpin.CmdClause) {
	c.Flag("wait", "Wait until the change is in force at every entry.").BoolVar(&inv.wait)
}

func (inv *invocation) registerMaintenanceCommands(app *kingpin.Application, commands map[string]commandFunc) {
	group := app.Command("maintenance", "Run maintenance on every host of a pool within its availability budget.")
	for _, action := range []string{"start", "pause", "resume", "cancel"} {
		c := group.Command(action, action+" the maintenance wave of a pool.")
		c.Arg("pool", "Name of the pool.").Required().StringVar(&inv.name)
		inv.registerWaitFlag(c)
		commands["maintenance "+action] = func(ctx context.Context) error {
			revision, err := inv.client.ChangeWave(ctx, inv.name, action)
			return inv.finishChange(ctx, revision, err)
		}
	}
	status := group.Command("status", "Show the progress of a pool's maintenance wave.")
	status.Arg("pool", "Name of the pool.").Required().StringVar(&inv.name)
	commands["maintenance status"] = inv.maintenanceStatus
}

// print writes text to standard output if the output format is table, and v as JSON
// otherwise.
func (inv *invocation) print(v any, text func() string) error {
	if inv.output == "table" {
		fmt.Print(text())
		return nil
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// finishChange prints the revision of an accepted change and, with --wait, waits until the
// change is in force at every entry. If the change failed with err, it returns err.
func (inv *invocation) finishChange(ctx context.Context, revision int64, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("accepted at revision %d\n", revision)
	if !inv.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	if err := inv.client.WaitApplied(ctx, revision); err != nil {
		return err
	}
	fmt.Println("in force at every entry")
	return nil
}

func (inv *invocation) list(ctx context.Context) error {
	list, err := inv.client.List(ctx, inv.kind)
	if err != nil {
		return err
	}
	return inv.print(list, func() string { return itemTable(inv.kind, list.Items) })
}

func (inv *invocation) show(ctx context.Context) error {
	item, err := inv.client.Get(ctx, inv.kind, inv.name)
	if err != nil {
		return err
	}
	return inv.print(item, func() string { return itemText(item) })
}

func (inv *invocation) remove(ctx context.Context) error {
	revision, err := inv.client.Delete(ctx, inv.kind, inv.name, inv.expectedRevision)
	return inv.finishChange(ctx, revision, err)
}

func (inv *invocation) move(ctx context.Context) error {
	revision, err := inv.client.MoveHost(ctx, inv.name, inv.toPool)
	return inv.finishChange(ctx, revision, err)
}

func (inv *invocation) maintenanceStatus(ctx context.Context) error {
	status, err := inv.client.Maintenance(ctx, inv.name)
	if err != nil {
		return err
	}
	return inv.print(status, func() string { return bwreport.Maintenance(status) })
}

func (inv *invocation) status(ctx context.Context) error {
	status, err := inv.client.Status(ctx)
	if err != nil {
		return err
	}
	return inv.print(status, func() string { return bwreport.Status(status) })
}

func (inv *invocation) dumpState(ctx context.Context) error {
	state, err := bwadmin.DumpState(ctx, inv.address)
	if err != nil {
		return err
	}
	fmt.Println(string(state))
	return nil
}

func (inv *invocation) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	for _, address := range inv.addresses {
		if err := bwadmin.WaitReady(ctx, address); err != nil {
			return err
		}
	}
	return nil
}

func (inv *invocation) searchAccounts(ctx context.Context) error {
	query := url.Values{}
	switch {
	case inv.requestOrJobID != "":
		query.Set("requestId", inv.requestOrJobID)
	case inv.idempotencyKey != "":
		query.Set("idempotencyKey", inv.idempotencyKey)
	case inv.caller != "":
		query.Set("caller", inv.caller)
		query.Set("since", time.Now().Add(-inv.since).UTC().Format(time.RFC3339))
	default:
		return errors.New("one of --request, --key or --caller (with --since) is required")
	}
	list, err := inv.client.Accounts(ctx, query)
	if err != nil {
		return err
	}
	return inv.print(list, func() string { return accountText(list.Accounts, list.Complete) })
}

func accountText(accounts []json.RawMessage, isComplete bool) string {
	text := ""
	for _, raw := range accounts {
		a := new(bwaccount.Account)
		if err := bwcodec.Unmarshal(raw, a); err != nil {
			text += "unreadable account: " + err.Error() + "\n"
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

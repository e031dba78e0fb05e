package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/client"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/sheet"
	sheetcli "github.com/sesamelift/sesamelift/sheet/cli"
	"github.com/sesamelift/sesamelift/table"
)

const defaultPlatform = "127.0.0.1:7300"

func (std *streams) printStatus(ctx context.Context, c *client.Client, asJSON bool) error {
	b, err := c.Fetch(ctx, "/v1/status")
	if err != nil {
		return err
	}
	var s ingress.Status
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decode status")
	}
	if asJSON {
		return std.printJSON(s)
	}
	fmt.Fprintf(std.out, "entry %s in %s, ready: %v\n", s.Entry, s.Zone, s.Ready)
	fmt.Fprintf(std.out, "configuration version %d, roster version %d, platform reachable: %v\n", s.ConfigVersion, s.RosterVersion, s.PlatformReachable)
	fmt.Fprintf(std.out, "%d workers, %d jobs, %d tasks waiting\n", s.Workers, s.Jobs, s.QueuedTasks)
	for _, q := range s.Queued {
		fmt.Fprintf(std.out, "  waiting: %d tasks of team %s for %s\n", q.Tasks, q.Team, q.Service)
	}
	for _, z := range s.EvacuatedZones {
		fmt.Fprintf(std.out, "zone %s is evacuated: %d workers, %d tasks still run there\n", z.Zone, z.Workers, z.Running)
	}
	for _, advice := range s.Advice {
		fmt.Fprintf(std.out, "what to do: %s\n", advice)
	}
	return nil
}

func workersCommand(std *streams) *ffcli.Command {
	var f entryFlags
	fs := flag.NewFlagSet("workers", flag.ContinueOnError)
	f.register(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	retire := fs.String("retire", "", "retire this worker, whose host must be switched off permanently")
	addr := fs.String("platform", defaultPlatform, "address of the platform, for -retire")
	return newCommand("workers", "workers [flags]", "list the connected workers, or retire one",
		"With -retire, entries stop waiting for the ledger of a worker. Do this only when its host is\n"+
			"switched off: a process that still runs there could start a task twice.\n\nExample:\n  sesamelift workers -token $OPERATOR_TOKEN",
		fs, func(ctx context.Context, args []string) error {
			switch {
			case len(args) > 0:
				return usageError{errors.New("workers takes no arguments")}
			case *retire != "":
				return retireWorker(ctx, std, platform.NewStore(*addr), *retire)
			}
			return listWorkers(ctx, std, f.client(), *asJSON)
		})
}

func listWorkers(ctx context.Context, std *streams, c *client.Client, asJSON bool) error {
	b, err := c.Fetch(ctx, "/v1/workers")
	if err != nil {
		return err
	}
	var workers []ingress.Worker
	if err := json.Unmarshal(b, &workers); err != nil {
		return errors.Wrap(err, "decode workers")
	}
	if asJSON {
		return std.printJSON(workers)
	}
	t := tabwriter.NewWriter(std.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "WORKER\tZONE\tSLOTS\tRUNNING\tSTATE")
	for _, w := range workers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", w.Worker, w.Zone, w.Slots, w.Running, workerState(w))
	}
	return t.Flush()
}

func workerState(w ingress.Worker) string {
	switch {
	case w.Ejected:
		return "ejected: " + w.EjectionReason
	case w.Drained:
		return "drained"
	case w.Evacuated:
		return "zone evacuated"
	case w.Leaving:
		return "leaving"
	}
	return "ok"
}

// retiredIncarnation is the incarnation in the registration of a retired worker whose
// row was unreadable. Incarnations are random; no agent has this one.
const retiredIncarnation = 1

// retireWorker sets the leave time in the registration of a worker, unless it is
// already set.
func retireWorker(ctx context.Context, std *streams, p table.Table, name string) error {
	// Without an operation id, table.Update recognizes its own write after a lost
	// reply by comparing the whole value, so the time must be the same in every
	// attempt.
	now := time.Now()
	_, err := table.Update(ctx, p, table.PrefixAgents+name, "", func(old []byte) ([]byte, error) {
		if old == nil {
			return nil, errors.Errorf("worker %q is not registered", name)
		}
		r, err := ownership.DecodeRegistration(name, old)
		if err != nil {
			// Another writer has left something else in the row. Entries wait for the
			// agent of the worker as long as no registration says that it has left.
			r = ownership.Registration{Worker: name, Incarnation: retiredIncarnation}
			fmt.Fprintf(std.errOut, "sesamelift: %v; the row is replaced\n", err)
		}
		if !r.LeftAt.IsZero() {
			return nil, table.ErrUnchanged
		}
		r.LeftAt = now
		return json.Marshal(r)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(std.out, "worker %s is retired; an agent that still runs there takes no new tasks once it notices, within 36 s\n", name)
	return nil
}

func drainCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("drain", flag.ContinueOnError)
	operator := fs.String("operator", sheetcli.DefaultOperator(), "name recorded in the history and shown to other operators")
	addr := fs.String("platform", defaultPlatform, "address of the platform")
	undo := fs.Bool("undo", false, "resume sending tasks to the worker")
	asJSON := fs.Bool("json", false, "print JSON")
	return newCommand("drain", "drain [flags] WORKER", "stop sending new tasks to a worker",
		"Writes a new version of the configuration in which the worker is drained. The next sheet\n"+
			"replaces it, so mark the worker there too.\n\nExample:\n  sesamelift drain -platform 127.0.0.1:17300 cleft-03",
		fs, func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("drain takes one worker")}
			}
			return drainWorker(ctx, std, platform.NewStore(*addr), args[0], *operator, !*undo, *asJSON)
		})
}

func evacuateCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("evacuate", flag.ContinueOnError)
	operator := fs.String("operator", sheetcli.DefaultOperator(), "name recorded in the history and shown to other operators")
	addr := fs.String("platform", defaultPlatform, "address of the platform")
	restore := fs.Bool("restore", false, "start tasks in the zone again")
	asJSON := fs.Bool("json", false, "print JSON")
	return newCommand("evacuate", "evacuate [flags] ZONE", "start no more tasks on the workers of a zone",
		"Writes a new version of the configuration in which the zone is evacuated. Tasks that run there\n"+
			"go on. The zone stays evacuated, whatever sheet is applied, until the command is given with\n"+
			"-restore. `sesamelift status` shows how many tasks still run there.\n\n"+
			"Example:\n  sesamelift evacuate -platform 127.0.0.1:17300 taqah-shed\n  sesamelift evacuate -platform 127.0.0.1:17300 -restore taqah-shed",
		fs, func(ctx context.Context, args []string) error {
			if len(args) != 1 || !config.ValidName(args[0]) {
				return usageError{errors.New("evacuate takes one zone, with a name of " + config.NameRule)}
			}
			return evacuateZone(ctx, std, platform.NewStore(*addr), args[0], *operator, *restore, *asJSON)
		})
}

func evacuateZone(ctx context.Context, std *streams, p table.Platform, zone, operator string, restore, asJSON bool) error {
	r, err := sheet.Evacuate(ctx, p, zone, restore, operator, uuid.NewString())
	if err != nil {
		return err
	}
	// The change has been made, so a failed read of the agents is not reported as a
	// failure of the command.
	if warning, err := sheet.CheckZone(ctx, p, zone); err == nil && warning != "" {
		fmt.Fprintf(std.errOut, "warning: %s\n", warning)
	}
	if asJSON {
		return std.printJSON(r)
	}
	state := "evacuated"
	if restore {
		state = "not evacuated"
	}
	if r.Unchanged {
		_, err = fmt.Fprintf(std.out, "zone %s is %s already, in configuration version %d; nothing was changed\n", zone, state, r.Version)
		return err
	}
	_, err = fmt.Fprintf(std.out, "zone %s: %s in configuration version %d\n", zone, state, r.Version)
	return err
}

func drainWorker(ctx context.Context, std *streams, p table.Platform, name, operator string, drain, asJSON bool) error {
	current, err := sheet.Current(ctx, p)
	if err != nil {
		return err
	}
	if current == nil {
		return errors.New("no configuration is in effect: apply a sheet first")
	}
	next := config.Config{Version: current.Version, Operator: operator, Services: current.Services, Teams: current.Teams}
	next.Workers = append([]config.Worker{}, current.Workers...)
	found := false
	for i := range next.Workers {
		if next.Workers[i].Name == name {
			next.Workers[i].Drain, found = drain, true
		}
	}
	if !found {
		return errors.Errorf("worker %q is not in the configuration", name)
	}
	r, err := sheet.Apply(ctx, p, &next, uuid.NewString())
	var conflict *sheet.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintf(std.errOut, "sesamelift: %v\n", err)
		return exitError(ExitConflict)
	}
	if err != nil {
		return err
	}
	if asJSON {
		return std.printJSON(r)
	}
	fmt.Fprintf(std.out, "worker %s: drain %v in configuration version %d\n", name, drain, r.Version)
	return nil
}

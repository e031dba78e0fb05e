package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/client"
)

const (
	// progressDelay is the time after which the progress of a job is shown, and
	// progressInterval the time between updates.
	progressDelay    = time.Second
	progressInterval = 500 * time.Millisecond
)

type submitFlags struct {
	entryFlags
	key     string
	asJSON  bool
	timeout time.Duration
}

func submitCommand(std *streams) *ffcli.Command {
	var f submitFlags
	fs := flag.NewFlagSet("submit", flag.ContinueOnError)
	f.register(fs)
	fs.StringVar(&f.key, "key", "", "idempotency key, a UUID version 7; the default is a new one")
	fs.BoolVar(&f.asJSON, "json", false, "print the answer as JSON")
	fs.DurationVar(&f.timeout, "timeout", api.MaxDeadline, "how long to wait for the answer")
	return newCommand("submit", "submit [flags] FILE", "submit a job and wait for its answer",
		"FILE holds the job as JSON; - is standard input. When no answer arrives, the job is submitted\n"+
			"again with the same key, which is safe: a job with the same key runs only once.\n\nExample:\n  sesamelift submit -token $TEAM_TOKEN examples/cleft/jobs/grain-count.json",
		fs, func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("submit takes one file")}
			}
			return f.run(ctx, std, args[0])
		})
}

func (f *submitFlags) run(ctx context.Context, std *streams, file string) error {
	s, err := readSubmission(std, file)
	if err != nil {
		return usageError{err}
	}
	key, err := parseOrNewKey(f.key)
	if err != nil {
		return usageError{err}
	}
	fmt.Fprintf(std.errOut, "key %s\n", key)
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	c := f.client()
	stop := std.showProgress(ctx, c, key)
	a, err := c.Submit(ctx, key, s)
	stop()
	if err != nil {
		return err
	}
	return std.printAnswer(a, f.asJSON)
}

func readSubmission(std *streams, file string) (*api.Submission, error) {
	b, err := std.readInput(file)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var s api.Submission
	if err := d.Decode(&s); err != nil {
		return nil, errors.Wrapf(err, "job file %q", file)
	}
	if v := s.Validate(); v != nil {
		return nil, errors.Errorf("job file %q: %s", file, v.Message)
	}
	return &s, nil
}

func parseOrNewKey(s string) (api.Key, error) {
	if s == "" {
		return api.NewKey()
	}
	return api.ParseKey(s)
}

func keyCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("key", flag.ContinueOnError)
	asJSON := fs.Bool("json", false, "print JSON")
	return newCommand("key", "key [-json]", "print a new idempotency key",
		"Callers that use HTTP directly send the key with their job.\n\nExample:\n  sesamelift key", fs,
		func(context.Context, []string) error {
			key, err := api.NewKey()
			if err != nil {
				return err
			}
			return std.printValue("key", key.String(), key.String(), *asJSON)
		})
}

// showProgress prints a progress line on a terminal for jobs that take longer
// than progressDelay. The returned function stops it and clears the line.
func (std *streams) showProgress(ctx context.Context, c *client.Client, key api.Key) func() {
	if !std.terminal {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait := progressDelay
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			wait = progressInterval
			if a, err := c.Get(ctx, key); err == nil && a.State == api.StateRunning {
				fmt.Fprintf(std.errOut, "\r%d of %d tasks finished", a.Finished, a.Tasks)
			}
		}
	}()
	return func() {
		cancel()
		<-done
		fmt.Fprint(std.errOut, "\r\033[K")
	}
}

// jobCommand returns the command status or cancel, depending on name. Both take the
// key of a job; status without a key shows the state of the deployment.
func jobCommand(std *streams, name string) *ffcli.Command {
	var f entryFlags
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	f.register(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	usage, short, long := "cancel [flags] KEY", "cancel a job", "Waiting tasks are dropped and running tasks are stopped. The answer tells whether any task may have run.\n\nExample:\n  sesamelift cancel -token $TEAM_TOKEN 019ae4f0-2f5b-7cc1-9d5e-0d6a3c1f2b44"
	if name == "status" {
		usage, short = "status [flags] [KEY]", "show a job, or the deployment without a key"
		long = "With a key and a team's token: the answer of the job or its progress. Without a key and\nwith the operator's token: the state of an entry, its waiting tasks, and what to do.\n\nExample:\n  sesamelift status -token $OPERATOR_TOKEN"
	}
	return newCommand(name, usage, short, long, fs, func(ctx context.Context, args []string) error {
		switch {
		case len(args) == 0 && name == "status":
			return std.printStatus(ctx, f.client(), *asJSON)
		case len(args) != 1:
			return usageError{errors.Errorf("%s takes one key", name)}
		}
		key, err := api.ParseKey(args[0])
		if err != nil {
			return usageError{err}
		}
		call := f.client().Get
		if name == "cancel" {
			call = f.client().Cancel
		}
		a, err := call(ctx, key)
		if err != nil {
			return err
		}
		return std.printAnswer(a, *asJSON)
	})
}

// printAnswer prints an answer. It returns an exitError with the exit code for a
// failed job, and nil for a job that is running or complete.
func (std *streams) printAnswer(a *api.Answer, asJSON bool) error {
	if asJSON {
		if err := std.printJSON(a); err != nil {
			return err
		}
	} else {
		std.printAnswerText(a)
	}
	switch {
	case a.State == api.StateRunning || a.Verdict == api.Complete:
		return nil
	case a.Reason == api.ReasonUnknownKey || a.Reason == api.ReasonUnauthorized:
		return exitError(ExitFailed)
	case a.Ran == api.RanNo:
		return exitError(ExitNotRun)
	}
	return exitError(ExitMayHaveRun)
}

func (std *streams) printAnswerText(a *api.Answer) {
	if a.State == api.StateRunning {
		fmt.Fprintf(std.out, "running: %d of %d tasks finished\n", a.Finished, a.Tasks)
		return
	}
	if a.Verdict == api.Complete {
		fmt.Fprintf(std.out, "complete: %d results\n", len(a.Results))
		for i, r := range a.Results {
			fmt.Fprintf(std.out, "  %d: %s\n", i, r)
		}
		return
	}
	fmt.Fprintf(std.out, "%s: %s (reason %s, ran: %s)\n", a.Verdict, a.Message, a.Reason, a.Ran)
	if a.RetrySafe {
		fmt.Fprintln(std.out, "It is safe to submit this job again under a new key.")
	}
	if a.RetryAfterMS > 0 {
		fmt.Fprintf(std.out, "Try again in %v.\n", time.Duration(a.RetryAfterMS)*time.Millisecond)
	}
}

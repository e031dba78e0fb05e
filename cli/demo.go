package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/client"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/settings"
)

// demoPollInterval is the interval at which the demo commands check whether the
// deployment is ready.
const demoPollInterval = 50 * time.Millisecond

func demoCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	c := newCommand("demo", "demo run|wait [flags] ...", "submit the example jobs to a running deployment",
		"`make demo` starts both example deployments and calls this command.\n\nExample:\n  make demo", fs,
		func(context.Context, []string) error { return usageError{errors.New("demo takes: run or wait")} })
	c.Subcommands = []*ffcli.Command{demoWaitCommand(std), demoRunCommand(std)}
	return c
}

func demoWaitCommand(std *streams) *ffcli.Command {
	fs := flag.NewFlagSet("wait", flag.ContinueOnError)
	fs.SetOutput(std.errOut)
	timeout := fs.Duration("timeout", 30*time.Second, "how long to wait")
	return newCommand("wait", "demo wait URL", "wait until a URL answers with status 200", "", fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("demo wait takes one URL")}
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return pollUntil(ctx, "no response with status 200 from "+args[0], func() bool { return respondsOK(ctx, args[0]) })
		})
}

func respondsOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pollUntil calls done until it returns true. If ctx ends first, it returns an
// error with the given message.
func pollUntil(ctx context.Context, message string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New(message)
		case <-time.After(demoPollInterval):
		}
	}
	return nil
}

type demoFlags struct {
	entries       string
	operatorToken string
	settingsFile  string
	workers       int
	timeout       time.Duration
}

func demoRunCommand(std *streams) *ffcli.Command {
	var f demoFlags
	fs := flag.NewFlagSet("run", flag.ContinueOnError)
	fs.SetOutput(std.errOut)
	fs.StringVar(&f.entries, "entries", "", "addresses of entries, separated by commas")
	fs.StringVar(&f.operatorToken, "operator-token", "", "token of the operator")
	fs.StringVar(&f.settingsFile, "settings", "", "settings file of an entry, which holds the tokens of the teams")
	fs.IntVar(&f.workers, "workers", 1, "number of workers to wait for")
	fs.DurationVar(&f.timeout, "timeout", 60*time.Second, "timeout of the whole run")
	return newCommand("run", "demo run [flags] JOB...", "submit job files and print each answer", "", fs,
		func(ctx context.Context, args []string) error {
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			return f.run(ctx, std, args)
		})
}

func (f *demoFlags) run(ctx context.Context, std *streams, files []string) error {
	var s settings.Entry
	if err := settings.Read(f.settingsFile, &s); err != nil {
		return err
	}
	entries := strings.Split(f.entries, ",")
	if err := f.waitForWorkers(ctx, entries); err != nil {
		return err
	}
	completeJobs, tasks, start := 0, 0, time.Now()
	for i, file := range files {
		// Each job is sent to a different entry first, as a load balancer would do.
		rotated := append(append([]string{}, entries[i%len(entries):]...), entries[:i%len(entries)]...)
		n, err := f.submit(ctx, std, rotated, s.TeamTokens, file)
		if err != nil {
			return err
		}
		if n > 0 {
			completeJobs++
			tasks += n
		}
	}
	fmt.Fprintf(std.out, "summary: %d of %d jobs complete, %d tasks, %d ms\n", completeJobs, len(files), tasks, time.Since(start).Milliseconds())
	if completeJobs < len(files) {
		return exitError(ExitFailed)
	}
	return nil
}

// waitForWorkers waits until every entry is ready and lists at least f.workers
// workers that serve tasks.
func (f *demoFlags) waitForWorkers(ctx context.Context, entries []string) error {
	for _, entry := range entries {
		c := client.New([]string{entry}, f.operatorToken)
		err := pollUntil(ctx, fmt.Sprintf("entry %s was not ready with %d workers in time", entry, f.workers), func() bool {
			if !respondsOK(ctx, "http://"+entry+"/readyz") {
				return false
			}
			b, err := c.Fetch(ctx, "/v1/workers")
			return err == nil && countServingWorkers(b) >= f.workers
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// countServingWorkers returns the number of workers in a JSON list that serve at
// least one service, which requires a running backend server, and that are not
// leaving.
func countServingWorkers(list []byte) int {
	var workers []ingress.Worker
	if json.Unmarshal(list, &workers) != nil {
		return 0
	}
	n := 0
	for _, w := range workers {
		if len(w.Services) > 0 && !w.Leaving {
			n++
		}
	}
	return n
}

// submit submits a job, prints its answer and returns the number of its results,
// or 0 if the job failed.
func (f *demoFlags) submit(ctx context.Context, std *streams, entries []string, tokens map[string]string, file string) (int, error) {
	s, err := readSubmission(std, file)
	if err != nil {
		return 0, err
	}
	key, err := api.NewKey()
	if err != nil {
		return 0, err
	}
	a, err := client.New(entries, tokens[s.Team]).Submit(ctx, key, s)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(std.out, "%s %s: ", filepath.Base(file), s.Service+"/"+s.Type)
	std.printAnswerText(a)
	if a.Verdict != api.Complete {
		return 0, nil
	}
	return len(a.Results), nil
}

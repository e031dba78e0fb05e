package host

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/runner"
	"github.com/sesamelift/sesamelift/runnerd"
)

// RunAgent runs an agent with the given arguments, without the program name, until it is
// terminated, and returns the exit code. received are the signals of the process.
func RunAgent(args []string, received <-chan os.Signal, stdout, stderr io.Writer) int {
	return runCommand("sesamelift-platform-agent", true, args, received, stdout, stderr, setupAgent)
}

func setupAgent(p *process) error {
	s := p.settings
	store := platform.NewStore(s.StoreAddress)
	announcements := make(chan any, 1)
	a, err := runnerd.New(runnerd.Options{
		Name: s.Name, Incarnation: p.incarnation, LinkAddress: s.LinkAddress, Timings: p.timings, MaxStopTime: s.Bounds.MaxStopTime,
		GracePeriod: s.GracePeriod, Worker: platform.NewWorkerClient(s.WorkerAddress, time.Now(), func(l decisions.Line) { p.log.Add(l) }), Guard: p.guard, Log: p.log, Metrics: p.metrics,
		StoreAnnouncement: func(announcement runner.Announcement) {
			// Only the most recent announcement is stored, so a pending one is replaced.
			select {
			case <-announcements:
			default:
			}
			announcements <- announcement
		},
	})
	if err != nil {
		return err
	}
	if _, err := p.addServer("worker", s.ControlAddress, platform.AnnouncementHandler(a, s.WorkerService), p.serviceListener("worker")); err != nil {
		return err
	}
	p.group.Add(func() error { a.Run(p.drainCtx); return nil }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	member := directory.Member{Name: s.Name, Role: directory.RoleAgent, Address: a.Addr()}
	p.group.Add(func() error {
		directory.Register(ctx, store, member, s.Seeds, p.timings.StoreAttemptInterval, p.log)
		return nil
	}, func(error) { cancel() })
	p.group.Add(func() error {
		var announcement runner.Announcement
		if directory.LoadAnnouncement(ctx, store, s.Name, &announcement, p.log) {
			if err := announcement.Validate(); err != nil {
				p.log.Add(decisions.Warn("cannot use the stored announcement of the worker, waiting for the next one", "error", err.Error()))
			} else {
				a.RestoreWorker(announcement)
			}
		}
		directory.SaveAnnouncements(ctx, store, s.Name, announcements, p.log)
		return nil
	}, func(error) { cancel() })
	return nil
}

package host

import (
	"context"
	"io"

	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/runnerd"
)

// Agent runs an agent.
func Agent(check bool, stdout, stderr io.Writer) int {
	return command("sesamelift-agent", true, check, stdout, stderr, setupAgent)
}

func setupAgent(p *process) error {
	s := p.settings
	a, err := runnerd.New(runnerd.Options{
		Name: s.Name, Incarnation: p.incarnation, LinkAddress: s.LinkAddress, Timings: p.timings, StopTime: s.Bounds.StopTime,
		GracePeriod: s.GracePeriod, Worker: platform.NewWorker(s.WorkerAddress), Log: p.log, Metrics: p.metrics,
	})
	if err != nil {
		return err
	}
	if _, err := p.addServer("worker", s.ControlAddress, platform.AnnouncementHandler(a)); err != nil {
		return err
	}
	p.group.Add(func() error { a.Run(p.drain); return nil }, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	member := directory.Member{Name: s.Name, Role: directory.RoleAgent, Address: a.Addr()}
	p.group.Add(func() error {
		directory.Enter(ctx, platform.NewStore(s.StoreAddress), member, p.log, nil)
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	return nil
}

package entry

import (
	"context"
	"slices"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

// configLoop runs the configuration watcher and passes each version to the
// event loop.
func (e *Entry) configLoop(ctx context.Context) error {
	versions, cancel := e.config.Subscribe()
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- e.watcher.Run(ctx) }()
	for {
		select {
		case <-ctx.Done():
			return <-done
		case c := <-versions:
			e.post(ctx, func(ls *loopState) { ls.setConfig(c) })
		}
	}
}

func (e *Entry) configVersion() uint64 { return e.config.Version() }

// fetchConfig gets a newer configuration from a peer. An entry that cannot
// reach the platform receives each version within the ping interval this way.
func (e *Entry) fetchConfig(ctx context.Context, conn *transport.Conn) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	m, err := conn.Call(ctx, &wire.Forward{Op: wire.OpConfig})
	reply, ok := m.(*wire.ForwardReply)
	if err != nil || !ok {
		return
	}
	if _, err := e.watcher.AdoptFromPeer(reply.Answer); err != nil {
		e.log.WithError(err).Warn("a peer sent an invalid configuration")
	}
}

// configReply returns the reply to an OpConfig request, or nil if this entry has
// no configuration yet.
func (e *Entry) configReply() wire.Message {
	c := e.config.Current()
	if c == nil {
		return nil
	}
	b, err := config.Encode(c)
	if err != nil {
		return nil
	}
	return &wire.ForwardReply{Answer: b}
}

// setConfig applies a version of the configuration and sends it to the agents.
func (ls *loopState) setConfig(cfg *config.Config) {
	if cfg.Version <= ls.config.Version {
		return
	}
	if !slices.Equal(cfg.EvacuatedZones, ls.config.EvacuatedZones) {
		ls.e.log.WithField("zones", cfg.EvacuatedZones).WithField("config_version", cfg.Version).Info("the evacuated zones have changed")
	}
	ls.config = cfg
	ls.requestTypes = map[string]map[string]config.RequestType{}
	for _, s := range cfg.Services {
		ls.requestTypes[s.Name] = map[string]config.RequestType{}
		for _, t := range s.Types {
			ls.requestTypes[s.Name][t.Name] = t
		}
	}
	workers := map[string]config.Worker{}
	for _, w := range cfg.Workers {
		workers[w.Name] = w
	}
	ls.setPermitted(func(worker, zone, service string) bool {
		if cfg.Evacuated(zone) {
			return false
		}
		w, listed := workers[worker]
		return !listed || !w.Drain && (len(w.Services) == 0 || slices.Contains(w.Services, service))
	}, ls.now())
	ls.setTeams()
	for _, ag := range ls.agents {
		ls.pushUpdates(ag)
	}
	ls.e.log.WithField("config_version", cfg.Version).Info("configuration is in effect")
}

func (ls *loopState) setTeams() {
	teams := map[string]admission.Team{}
	for _, t := range ls.config.Teams {
		teams[t.Name] = admission.Team{Quota: t.Quota, Weight: t.Weight}
	}
	entries := 1
	if r := ls.resolver.Roster(); r != nil {
		entries = max(1, len(r.Members))
	}
	ls.admission.SetTeams(teams, entries)
}

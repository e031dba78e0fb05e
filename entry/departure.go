package entry

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// departureTimeout bounds how long an entry that has left the roster tries to
	// report its keys to the members.
	departureTimeout = 2 * time.Second
	// departureAttemptTimeout bounds one attempt at one member.
	departureAttemptTimeout = 500 * time.Millisecond
)

// reportDeparture tells each member what this entry knows of the keys that the member
// owns, after this entry has left the roster and adopted r. Without it the members
// depend on the ledgers of the agents, and a ledger that was lost shortly before casts
// doubt on every key that this entry could have owned.
func (e *Entry) reportDeparture(ctx context.Context, r *ownership.Roster) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	encoded, err := json.Marshal(r)
	if err != nil {
		e.log.WithError(err).Warn("cannot encode the roster; the members ask the agents what this entry has started")
		return
	}
	var g errgroup.Group
	g.SetLimit(maxOwnershipCalls)
	for _, member := range r.Members {
		g.Go(func() error {
			e.reportDepartureTo(ctx, r, encoded, member)
			return nil
		})
	}
	_ = g.Wait()
}

// reportDepartureTo repeats the report to one member until it is acknowledged or ctx
// ends.
func (e *Entry) reportDepartureTo(ctx context.Context, r *ownership.Roster, encoded []byte, member ownership.Member) {
	report, ok := postAndWait(ctx, e, func(ls *loopState) wire.KeyReport { return ls.reportKeys(r, member.Name) })
	if !ok {
		return
	}
	m := &wire.Departure{Incarnation: e.self.Incarnation, RosterVersion: r.Version, Roster: encoded, Report: report}
	for {
		if conn := e.peers.conn(member.Incarnation); conn != nil {
			attempt, cancel := context.WithTimeout(ctx, departureAttemptTimeout)
			reply, err := conn.Call(attempt, m)
			cancel()
			if _, ok := reply.(*wire.DepartureAck); ok && err == nil {
				return
			}
		}
		if !sleepFor(ctx, ownershipCallInterval) {
			e.log.WithField("peer", member.Name).WithField("keys", len(report.Held)).Warn("a member did not acknowledge the keys of this entry; it asks the agents instead")
			return
		}
	}
}

// reportKeys returns what this entry knows of the keys that the named member owns
// under a roster that this entry has adopted.
func (ls *loopState) reportKeys(r *ownership.Roster, member string) wire.KeyReport {
	owned := r.OwnedBy(member)
	report := ls.resolver.Report(ls.jobs.Keys(owned), owned)
	out := wire.KeyReport{Held: make([]wire.Key, len(report.Held)), CompleteVersions: report.CompleteVersions}
	for i, k := range report.Held {
		out.Held[i] = wire.Key(k)
	}
	for _, k := range report.Inherited {
		inherited := wire.InheritedKey{Key: wire.Key(k.Key), Holder: k.Holder}
		for _, t := range k.Records {
			inherited.Records = append(inherited.Records, wire.InheritedRecord{Task: t.Task, Worker: t.Worker, Agent: t.Agent, Digest: t.Digest, State: t.State})
		}
		out.Inherited = append(out.Inherited, inherited)
	}
	return out
}

func decodeReport(m *wire.KeyReport) ownership.KeyReport {
	report := ownership.KeyReport{Held: make([]api.Key, len(m.Held)), CompleteVersions: m.CompleteVersions}
	for i, k := range m.Held {
		report.Held[i] = api.Key(k)
	}
	for _, k := range m.Inherited {
		inherited := ownership.InheritedKey{Key: api.Key(k.Key), Holder: k.Holder}
		for _, t := range k.Records {
			inherited.Records = append(inherited.Records, ownership.StartedTask{Task: t.Task, Worker: t.Worker, Agent: t.Agent, Digest: t.Digest, State: t.State})
		}
		report.Inherited = append(report.Inherited, inherited)
	}
	return report
}

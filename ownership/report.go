package ownership

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

// KeyReport lists what an entry knows of the keys that another entry owns. An entry
// sends it to a member that joined later, when that one asks, and to each member when
// it has left the roster by itself. After its report the entry accepts none of these
// keys any more, so that the report is final for as long as the receiver owns them.
type KeyReport struct {
	// Held are the keys in the job table of the reporting entry.
	Held []api.Key
	// Inherited are further keys, of which earlier owners may have started tasks.
	Inherited []InheritedKey
	// CompleteVersions are the roster versions at which the reporting entry was
	// complete: it knew of every key that it owned then and of which an earlier owner
	// may have started tasks.
	CompleteVersions []uint64
}

// InheritedKey is a key of an earlier owner.
type InheritedKey struct {
	Key api.Key
	// Holder is the incarnation that held the key, or 0 if only Records are known.
	Holder  uint64
	Records []StartedTask
}

// reported is a key report that was received. It covers the keys that this entry
// owned at roster version version.
type reported struct {
	version          uint64
	completeVersions []uint64
}

// Report returns what this entry knows of the keys for which owned returns true.
// held are those in its job table. This entry must have adopted the roster under which
// the other one owns the keys, so that it accepts none of them any more.
func (r *Resolver) Report(held []api.Key, owned func(api.Key) bool) KeyReport {
	report := KeyReport{Held: held, CompleteVersions: slices.Clone(r.completeVersions)}
	for _, keys := range r.keys {
		for k, info := range keys {
			if owned(k) {
				report.Inherited = append(report.Inherited, InheritedKey{Key: k, Holder: info.holder, Records: slices.Clone(info.records)})
			}
		}
	}
	return report
}

// RecordHandover records the report of another incarnation about the keys that this
// entry owns at rosterVersion.
func (r *Resolver) RecordHandover(from uint64, rosterVersion uint64, report KeyReport) {
	for _, k := range report.Held {
		if !k.Expired(r.now) {
			r.keys.getOrCreate(k).holder = from
		}
	}
	for _, k := range report.Inherited {
		if k.Key.Expired(r.now) {
			continue
		}
		info := r.keys.getOrCreate(k.Key)
		if info.holder == 0 {
			info.holder = k.Holder
		}
		for _, t := range k.Records {
			info.mergeRecord(t)
		}
	}
	if names, ok := r.memberNames[rosterVersion]; ok {
		// A report with the same member names covers the same keys.
		reports := slices.DeleteFunc(r.reports[from], func(p reported) bool { return slices.Equal(r.memberNames[p.version], names) })
		r.reports[from] = append(reports, reported{rosterVersion, report.CompleteVersions})
	}
	r.updateComplete()
}

// covers returns a function that reports whether this entry owned k at a version.
func (r *Resolver) covers(k api.Key) func(version uint64) bool {
	return func(v uint64) bool { return OwnerName(r.memberNames[v], k) == r.self.Name }
}

// reportedWith reports whether an incarnation has sent a report for a version that
// covers returns true for.
func (r *Resolver) reportedWith(incarnation uint64, covers func(version uint64) bool) bool {
	return slices.ContainsFunc(r.reports[incarnation], func(p reported) bool { return covers(p.version) })
}

// reportedAll reports whether an incarnation has sent a report about every key that
// this entry owns now.
func (r *Resolver) reportedAll(incarnation uint64) bool {
	return r.reportedWith(incarnation, r.coversAll)
}

// pastOwnersResolved reports whether all tasks that earlier owners may have started
// for the key are known, and sets d.RecordsLost as resolved does. unlisted says that
// no report and no agent has named the key: then the report of an earlier owner
// proves that it started nothing, and, if that owner was complete, that no owner
// before it did.
func (r *Resolver) pastOwnersResolved(k api.Key, unlisted bool, d *Decision) bool {
	for i, past := range slices.Backward(r.roster.History) {
		owner, ok := ownerOf(past.Members, k)
		if !ok {
			continue
		}
		reported := unlisted && r.reportedWith(owner.Incarnation, r.covers(k))
		if owner.Incarnation != r.self.Incarnation && !reported && !r.resolved(owner.Incarnation, k, d) {
			return false
		}
		if unlisted && r.completeIn(owner.Incarnation, i, r.covers(k)) {
			return true
		}
	}
	return true
}

// completeIn reports whether an incarnation was complete while member set i of the
// history was in force, as it said in a report that covers the keys in question. For
// this entry no report is needed.
func (r *Resolver) completeIn(incarnation uint64, i int, covers func(version uint64) bool) bool {
	if incarnation == r.self.Incarnation {
		return slices.ContainsFunc(r.completeVersions, func(v uint64) bool { return r.inSet(v, i) })
	}
	return slices.ContainsFunc(r.reports[incarnation], func(p reported) bool {
		return covers(p.version) && slices.ContainsFunc(p.completeVersions, func(v uint64) bool { return r.inSet(v, i) })
	})
}

// inSet reports whether member set i of the history was in force at version v. The
// first version of the oldest set is not known; no older set is in the history, so
// that it makes no difference who was complete then.
func (r *Resolver) inSet(v uint64, i int) bool {
	return i > 0 && v > r.roster.History[i-1].Version && v <= r.roster.History[i].Version
}

// updateComplete adds the version of the roster to completeVersions if this entry
// knows of every key that it owns now and of which an earlier owner may have started
// tasks.
func (r *Resolver) updateComplete() {
	if !r.isMember() {
		return
	}
	first := uint64(0)
	if n := len(r.roster.History); n > 0 {
		first = r.roster.History[n-1].Version + 1
	}
	if n := len(r.completeVersions); n > 0 && r.completeVersions[n-1] >= first && r.completeVersions[n-1] <= r.roster.Version {
		return
	}
	if r.complete() {
		r.completeVersions = append(r.completeVersions, r.roster.Version)
	}
}

// complete goes through the earlier sets of members until one in which every member
// was complete: each incarnation must have reported all keys that this entry owns
// now, or each agent must have returned its records.
func (r *Resolver) complete() bool {
	for i, past := range slices.Backward(r.roster.History) {
		allComplete := true
		for _, m := range past.Members {
			if m.Incarnation != r.self.Incarnation && !r.reportedAll(m.Incarnation) && !r.allRecordsCollected(m.Incarnation) {
				return false
			}
			allComplete = allComplete && r.completeIn(m.Incarnation, i, r.coversAll)
		}
		if allComplete {
			return true
		}
	}
	return true
}

// allRecordsCollected reports whether agents have returned all records of what an
// incarnation that left started for the keys that this entry owns now, and no ledger
// was lost that could hold a record of a key that is still valid.
func (r *Resolver) allRecordsCollected(incarnation uint64) bool {
	if m, live := r.roster.Find(incarnation); live {
		return !r.joinedEarlier(m)
	}
	f := r.fences[incarnation]
	if f == nil {
		return true // the fence was confirmed more than Retention ago
	}
	return f.agentsCaptured && !slices.ContainsFunc(f.agents, func(a fencedAgent) bool {
		return !slices.ContainsFunc(a.ackedVersions, r.coversAll) || !a.ledgerLostAt.IsZero() && r.now.Before(lostKeysExpire(a.ledgerLostAt))
	})
}

// lostKeysExpire returns when every key has expired whose records were lost with a
// ledger at lostAt.
func lostKeysExpire(lostAt time.Time) time.Time { return lostAt.Add(Retention) }

package dispatchd

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
)

// announcedRetention is how long a member that has announced itself is kept although the
// store has no row of it. Members repeat their announcement until the store has taken the
// row, every few seconds at most.
const announcedRetention = 10 * time.Second

// maxUnlisted bounds the members that an entry keeps although the store has not listed them,
// unless Options.MaxAnnounced is lower. Anyone who reaches the directory address can announce
// some. A deployment of the design size has 925 members.
const maxUnlisted = 4096

// directoryCache is what an entry has read from the store or from other
// entries.
type directoryCache struct {
	mu      sync.Mutex
	members map[string]directory.Member
	// announced holds, by name, when members announced themselves.
	announced map[string]time.Time
	// unlisted holds the names of the members that were announced, here or to another entry,
	// and that this entry has not read from the store.
	unlisted map[string]struct{}
	// refusalLogged says that a line was logged about members refused because of maxUnlisted.
	// It is cleared when a further one is kept.
	refusalLogged bool
	// revision counts the changes of members, and changedAt holds, by member, the revision
	// of its last change. changed is closed and replaced with each change of the members or
	// of the configuration.
	revision  uint64
	changedAt map[string]uint64
	changed   chan struct{}
	// peerRevisions holds, by address of an entry, the revision of its members that was
	// merged last.
	peerRevisions map[string]string
	// config is the encoded configuration.
	config        []byte
	configVersion uint64
	// evacuatedInStore holds the evacuated zones that the entry's own reads of the store
	// show, evacuations those in effect, which may come from another entry.
	// evacuationsChangedAt is the version at which the zones in effect last changed.
	evacuatedInStore     map[string]bool
	evacuations          directory.Evacuations
	evacuationsChangedAt uint64
	// olderReadLogged says that a line was logged about full reads that are older than the
	// zones in effect. It is cleared by a read that isn't.
	olderReadLogged bool
	// membersReadFailing and configReadFailing say whether the last read of the members
	// or of the configuration from the store failed, or there was none yet.
	membersReadFailing bool
	configReadFailing  bool
	// membersRead says whether the members were read from the store since the start.
	membersRead bool
}

func (d *Dispatcher) watchMembers(ctx context.Context) {
	directory.Watch(ctx, d.opts.Store, directory.MembersTable, d.opts.Timings.StoreAttemptInterval, d.opts.Log, d.applyMembers, func(failing bool) {
		d.cache.mu.Lock()
		d.cache.membersReadFailing = failing
		d.cache.mu.Unlock()
	})
}

// applyMembers applies rows of the members' table; full says that they are the whole
// table.
func (d *Dispatcher) applyMembers(rows []directory.Row, full bool, _ uint64) {
	d.cache.mu.Lock()
	known := d.cache.members
	d.cache.membersRead = true
	if full {
		d.cache.members = d.cache.recentlyAnnounced(time.Now())
		clear(d.cache.unlisted)
		for name := range d.cache.members {
			d.cache.unlisted[name] = struct{}{}
		}
		clear(d.cache.peerRevisions)
	} else {
		known = maps.Clone(known)
	}
	for _, r := range rows {
		delete(d.cache.unlisted, r.Key)
		if r.Deleted {
			delete(d.cache.members, r.Key)
			delete(d.cache.announced, r.Key)
			d.rejected.Remove(r.Key)
			continue
		}
		m, err := directory.DecodeMember(r)
		if err != nil {
			// The member itself goes on under its last usable row.
			if m, ok := known[r.Key]; ok {
				d.cache.members[r.Key] = m
			}
			d.rejectMember(r.Key, r.Value, "store", err)
			continue
		}
		d.rejected.Remove(r.Key)
		d.cache.members[m.Name] = m
	}
	d.cache.recordChanges(known)
	d.cache.mu.Unlock()
	d.updateMembers()
}

// recordChanges records which members differ from those that were known before.
func (c *directoryCache) recordChanges(before map[string]directory.Member) {
	c.revision++
	for name, m := range c.members {
		if old, ok := before[name]; !ok || old != m {
			c.changedAt[name] = c.revision
		}
	}
	for name := range before {
		if _, ok := c.members[name]; !ok {
			delete(c.changedAt, name)
		}
	}
	c.notify()
}

// notify wakes the queries that wait for a change.
func (c *directoryCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// recentlyAnnounced returns the members that have announced themselves lately: the store
// may not have their rows yet. It forgets the others.
func (c *directoryCache) recentlyAnnounced(now time.Time) map[string]directory.Member {
	recent := map[string]directory.Member{}
	for name, at := range c.announced {
		m, ok := c.members[name]
		if !ok || now.Sub(at) > announcedRetention {
			delete(c.announced, name)
			continue
		}
		recent[name] = m
	}
	return recent
}

// rejectMember logs, once for each change of its content, an entry of the directory
// that can't be used.
func (d *Dispatcher) rejectMember(key string, content []byte, from string, err error) {
	if d.rejected.Add(key, content) {
		d.opts.Log.Add(decisions.Warn("cannot use directory member, other members stay in use", "row", key, "from", from, "error", err.Error()))
	}
}

// updateMembers passes a copy of the cached members to the event loop.
func (d *Dispatcher) updateMembers() {
	d.cache.mu.Lock()
	members := maps.Clone(d.cache.members)
	d.cache.mu.Unlock()
	d.post(func(now time.Duration) { d.updateAgents(now, members) })
}

func (d *Dispatcher) watchConfig(ctx context.Context) {
	directory.Watch(ctx, d.opts.Store, d.opts.ConfigTable, d.opts.Timings.StoreAttemptInterval, d.opts.Log, d.applyConfigTable, func(failing bool) {
		d.cache.mu.Lock()
		d.cache.configReadFailing = failing
		d.cache.mu.Unlock()
	})
}

// applyConfigTable applies rows of the table with the configuration; full says that they
// are the whole table, and version is that of the store. The evacuated zones come first: the
// first configuration makes the entry start tasks.
func (d *Dispatcher) applyConfigTable(rows []directory.Row, full bool, version uint64) {
	d.applyEvacuations(rows, full, version)
	for _, r := range rows {
		if r.Key == d.opts.ConfigKey && !r.Deleted {
			d.applyConfig(r.Value, "store")
		}
	}
}

// applyEvacuations applies the rows that have zones evacuated. A row counts even if its
// value can't be read.
func (d *Dispatcher) applyEvacuations(rows []directory.Row, full bool, version uint64) {
	d.evacuationsMu.Lock()
	defer d.evacuationsMu.Unlock()
	d.cache.mu.Lock()
	if full {
		d.cache.evacuatedInStore = map[string]bool{}
	}
	for _, r := range rows {
		zone, ok := d.opts.EvacuatedZone(r.Key)
		switch {
		case !ok:
		case r.Deleted:
			delete(d.cache.evacuatedInStore, zone)
			d.rejectedEvacuations.Remove(r.Key)
		case zone == "":
			if d.rejectedEvacuations.Add(r.Key, nil) {
				d.opts.Log.Add(decisions.Warn("row names no zone to evacuate, other rows stay in effect", "row", r.Key))
			}
		default:
			d.cache.evacuatedInStore[zone] = true
		}
	}
	zones := slices.Sorted(maps.Keys(d.cache.evacuatedInStore))
	d.logOlderRead(full, version)
	d.cache.mu.Unlock()
	// What was read last from the store counts also if its version has not risen.
	d.setEvacuations(directory.Evacuations{Version: version, Zones: zones})
}

// logOlderRead logs the first of several full reads that are older than the zones in effect.
// The caller holds cache.mu.
func (d *Dispatcher) logOlderRead(full bool, version uint64) {
	inEffect := d.cache.evacuations.Version
	if version >= inEffect {
		d.cache.olderReadLogged = false
		return
	}
	if full && !d.cache.olderReadLogged {
		d.cache.olderReadLogged = true
		d.opts.Log.Add(decisions.Warn("table read is older than the evacuated zones in effect, they stay", "version", version, "version_in_effect", inEffect,
			"zones_in_effect", len(d.cache.evacuations.Zones), "zones_read", len(d.cache.evacuatedInStore)))
	}
}

// mergeEvacuations puts the evacuated zones of another entry's reply in effect if they are
// newer; nil if it has none. When it returns, the event loop has been passed all zones that
// this entry knew when it sent the query, also those of a read that is being applied.
func (d *Dispatcher) mergeEvacuations(e *directory.Evacuations) {
	d.evacuationsMu.Lock()
	defer d.evacuationsMu.Unlock()
	d.cache.mu.Lock()
	newer := e != nil && e.Version > d.cache.evacuations.Version
	d.cache.mu.Unlock()
	if newer {
		d.setEvacuations(*e)
	}
}

// setEvacuations puts evacuated zones in effect, unless newer ones are. The event loop
// handles them before jobs that are submitted after the call. The caller holds evacuationsMu.
func (d *Dispatcher) setEvacuations(e directory.Evacuations) {
	d.cache.mu.Lock()
	if e.Version < d.cache.evacuations.Version {
		d.cache.mu.Unlock()
		return
	}
	if !slices.Equal(e.Zones, d.cache.evacuations.Zones) {
		d.cache.evacuationsChangedAt = e.Version
		d.cache.notify()
	}
	d.cache.evacuations = e
	d.cache.mu.Unlock()
	d.post(func(now time.Duration) { d.scheduler.SetEvacuated(now, e.Version, e.Zones) })
}

// applyConfig decodes a configuration and puts it in effect if it is newer.
func (d *Dispatcher) applyConfig(value []byte, from string) {
	c, err := d.opts.DecodeConfig(value)
	if err != nil {
		d.opts.Log.Add(decisions.Warn("cannot decode configuration, previous configuration stays in effect", "from", from, "error", err.Error()))
		return
	}
	if !d.routes.Adopt(c) {
		return
	}
	d.cache.mu.Lock()
	if c.Version > d.cache.configVersion {
		d.cache.config, d.cache.configVersion = value, c.Version
		d.cache.notify()
	}
	d.cache.mu.Unlock()
	d.opts.Log.Add(decisions.Info("configuration in effect", "version", c.Version, "queues", len(c.Queues), "from", from))
}

// mergeMembers adds members that are not cached yet. If announced is not empty,
// the members announced themselves, and cached rows that differ are replaced. It returns
// the number of members that were refused because of maxUnlisted.
func (d *Dispatcher) mergeMembers(members []directory.Member, announced string) (refused int) {
	changed := false
	now := time.Now()
	d.cache.mu.Lock()
	for _, m := range members {
		old, known := d.cache.members[m.Name]
		if !known {
			if len(d.cache.unlisted) >= d.maxUnlisted() && d.cache.forgetUnlisted(now) {
				changed = true
			}
			if len(d.cache.unlisted) >= d.maxUnlisted() {
				refused++
				continue
			}
			d.cache.unlisted[m.Name] = struct{}{}
			d.cache.refusalLogged = false
		}
		if !known || announced != "" && old != m {
			if !changed {
				changed = true
				d.cache.revision++
			}
			d.cache.members[m.Name], d.cache.changedAt[m.Name] = m, d.cache.revision
		}
		if announced != "" {
			d.cache.announced[m.Name] = now
		}
	}
	if changed {
		d.cache.notify()
	}
	log := refused > 0 && !d.cache.refusalLogged
	if log {
		d.cache.refusalLogged = true
	}
	d.cache.mu.Unlock()
	if refused > 0 {
		d.metrics.membersRefused.Inc(int64(refused))
	}
	if log {
		d.opts.Log.Add(decisions.Warn("announced members refused: too many of them are not in the store", "refused", refused, "bound", d.maxUnlisted()))
	}
	if changed {
		d.updateMembers()
	}
	return refused
}

func (d *Dispatcher) maxUnlisted() int {
	if d.opts.MaxAnnounced > 0 {
		return min(d.opts.MaxAnnounced, maxUnlisted)
	}
	return maxUnlisted
}

// forgetUnlisted forgets the members that the store does not list although it can be read,
// and that have not announced themselves lately. It reports whether there were any.
func (c *directoryCache) forgetUnlisted(now time.Time) bool {
	if !c.membersRead || c.membersReadFailing {
		return false
	}
	before := len(c.unlisted)
	for name := range c.unlisted {
		if now.Sub(c.announced[name]) <= announcedRetention {
			continue
		}
		delete(c.unlisted, name)
		delete(c.announced, name)
		delete(c.members, name)
		delete(c.changedAt, name)
	}
	if len(c.unlisted) == before {
		return false
	}
	c.revision++
	return true
}

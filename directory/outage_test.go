package directory

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/timing"
)

// outageStore answers nothing from silentFrom until silentUntil, and never answers the calls
// that it received before the end of that time and had not answered at its beginning. Its row
// changes at silentUntil. Its replies take delay.
type outageStore struct {
	Store
	silentFrom, silentUntil time.Time
	delay                   time.Duration
	mu                      sync.Mutex
	// calls are under way; most is their largest number.
	calls, most int
	puts        []time.Time
}

// respond waits until the given time, or as long as the silence and ctx have it.
func (s *outageStore) respond(ctx context.Context, at time.Time) error {
	s.mu.Lock()
	s.calls++
	s.most = max(s.most, s.calls)
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.calls--; s.mu.Unlock() }()
	if at = at.Add(s.delay); time.Now().Before(s.silentUntil) && !at.Before(s.silentFrom) {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(at)):
		return nil
	}
}

func (s *outageStore) Rows(ctx context.Context, _ string) ([]Row, uint64, error) {
	return []Row{{Key: "a", Value: []byte("1")}}, 1, s.respond(ctx, time.Now())
}

func (s *outageStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	now := time.Now()
	if !now.Before(s.silentUntil) && after == 1 {
		return []Row{{Key: "a", Value: []byte("2")}}, 2, s.respond(ctx, now)
	}
	return nil, after, s.respond(ctx, now.Add(wait))
}

func (s *outageStore) Put(ctx context.Context, _, _ string, _ []byte) error {
	err := s.respond(ctx, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.puts = append(s.puts, time.Now())
	}
	return err
}

func (s *outageStore) CloseIdleConnections() {}

func interval(t *testing.T, contact time.Duration) time.Duration {
	timings, err := timing.Derive(timing.Bounds{MaxLease: time.Second, MaxStopTime: 50 * time.Millisecond, ResendAfter: 1300 * time.Millisecond, Contact: contact})
	qt.Assert(t, err, qt.IsNil)
	return timings.StoreAttemptInterval
}

// Load pattern: the store answers nothing for a while, from 50 ms after a process has asked for
// changes. Guards against hanging calls that delay the next attempt, so that a process has
// the changes, or the store its row, later than the bound, and against calls without number.
func TestHangingCallsDelayNoAttempt(t *testing.T) {
	const usePart = 200 * time.Millisecond
	for _, contact := range []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(contact.String(), func(t *testing.T) {
			for silence := 100 * time.Millisecond; silence < 15*time.Second; silence += 150 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) { testOutage(t, contact-usePart, silence, interval(t, contact)) })
			}
		})
	}
}

// testOutage checks that changes and a row arrive within bound after a silence.
func testOutage(t *testing.T, bound, silence, attemptInterval time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() { cancel(); synctest.Wait() }()
	silentFrom := time.Now().Add(50 * time.Millisecond)
	s := &outageStore{silentFrom: silentFrom, silentUntil: silentFrom.Add(silence)}
	members := &outageStore{silentFrom: time.Now(), silentUntil: s.silentUntil}
	go Register(ctx, members, Member{Name: "a1"}, nil, attemptInterval, testLog())
	var last string
	go Watch(ctx, s, "t", attemptInterval, testLog(), func(rows []Row, _ bool, _ uint64) { last = string(rows[0].Value) }, func(bool) {})
	time.Sleep(time.Until(s.silentUntil.Add(bound)))
	synctest.Wait()
	qt.Check(t, last, qt.Equals, "2", qt.Commentf("change, silence of %v", silence))
	qt.Check(t, members.puts, qt.Not(qt.HasLen), 0, qt.Commentf("row, silence of %v", silence))
	limit := int((5*time.Second)/attemptInterval) + 2
	qt.Check(t, s.most <= limit && members.most <= limit, qt.IsTrue, qt.Commentf("%d and %d calls", s.most, members.most))
}

// Guards against a store that is slow all the time and never gets the row of a member, because
// every write is given up.
func TestSlowStoreGetsTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); synctest.Wait() }()
		s := &outageStore{delay: maxPutTimeout - 100*time.Millisecond, silentUntil: time.Now()}
		go Register(ctx, s, Member{Name: "a1"}, nil, interval(t, 0), testLog())
		time.Sleep(20 * time.Second)
		synctest.Wait()
		qt.Check(t, s.puts, qt.Not(qt.HasLen), 0)
	})
}

// truncatedStore never answers the first call for changes, and no longer keeps the changes
// that the second one asks for.
type truncatedStore struct {
	outageStore
	asked atomic.Int32
	read  atomic.Int32
}

func (s *truncatedStore) Rows(context.Context, string) ([]Row, uint64, error) {
	return []Row{{Key: "a", Value: []byte(strconv.Itoa(int(s.read.Add(1))))}}, 1, nil
}

func (s *truncatedStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]Row, uint64, error) {
	if s.asked.Add(1) == 2 {
		return nil, 0, ErrHistoryTruncated
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Load pattern: a call hangs, and the store then answers that it no longer keeps the changes.
// Guards against a table that is read again only after the hanging call has timed out.
func TestHangingCallDelaysNoReadOfTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); synctest.Wait() }()
		s := &truncatedStore{}
		attemptInterval := interval(t, 3*time.Second)
		go Watch(ctx, s, "t", attemptInterval, testLog(), func([]Row, bool, uint64) {}, func(bool) {})
		time.Sleep(attemptInterval + 100*time.Millisecond)
		synctest.Wait()
		qt.Check(t, s.read.Load() > 1, qt.IsTrue)
	})
}

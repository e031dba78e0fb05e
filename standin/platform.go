package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/table"
)

// PlatformFaults are the faults of the platform stand-in. The counts are of the
// next writes that are affected; a negative count affects all until the faults
// are set again.
type PlatformFaults struct {
	// Unavailable refuses every request.
	Unavailable bool `json:"unavailable"`
	// DelayMS delays every request, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseReplies drops the replies of writes that took effect.
	LoseReplies int `json:"lose_replies"`
	// LoseRequests drops writes before they take effect.
	LoseRequests int `json:"lose_requests"`
	// RefuseWrites refuses writes and answers reads.
	RefuseWrites bool `json:"refuse_writes"`
}

// PlatformOptions are the options of NewPlatform.
type PlatformOptions struct {
	// Address is the IP address and port of the HTTP server. An empty address
	// means that the stand-in is used in process only.
	Address string
	Faults  PlatformFaults
}

// PlatformCounts says how many requests the stand-in has received.
type PlatformCounts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// errLost says that no reply is to be sent.
var errLost = errors.New("reply is lost")

// Platform is the platform stand-in. It implements table.Platform in
// process and serves the same rows over HTTP.
type Platform struct {
	server *server

	mu      sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
	faults  PlatformFaults
	counts  PlatformCounts
}

var _ table.Platform = (*Platform)(nil)

// NewPlatform returns an empty platform. With an address, it listens at once;
// requests are answered while Run runs.
func NewPlatform(o PlatformOptions) (*Platform, error) {
	p := &Platform{rows: map[string]table.Row{}, objects: map[string][]byte{}, faults: o.Faults}
	if o.Address == "" {
		return p, nil
	}
	s, err := listen(o.Address, p.routes())
	if err != nil {
		return nil, err
	}
	p.server = s
	return p, nil
}

// Addr returns the address of the HTTP server, or an empty text.
func (p *Platform) Addr() string {
	if p.server == nil {
		return ""
	}
	return p.server.addr
}

// Run serves HTTP until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	if p.server == nil {
		<-ctx.Done()
		return nil
	}
	return p.server.run(ctx)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults with what remains of the counts.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the number of requests received so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Get implements table.Table.
func (p *Platform) Get(ctx context.Context, key string) (table.Row, error) {
	if err := p.beforeRead(ctx); err != nil {
		return table.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key]
	if !ok {
		return table.Row{}, errors.Wrapf(table.ErrNotFound, "row %q", key)
	}
	return copyRow(row), nil
}

// List implements table.Table.
func (p *Platform) List(ctx context.Context, prefix string) ([]table.Row, error) {
	if err := p.beforeRead(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []table.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, copyRow(row))
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// CompareAndSet implements table.Table.
func (p *Platform) CompareAndSet(ctx context.Context, key string, want uint64, value []byte) (table.Row, error) {
	if len(value) > table.MaxValueBytes {
		return table.Row{}, errors.Wrapf(table.ErrTooLarge, "set row %q to %d bytes", key, len(value))
	}
	row := copyRow(table.Row{Key: key, Version: want + 1, Value: value})
	err := p.write(ctx, key, func() error {
		if err := p.check(key, want); err != nil {
			return err
		}
		p.rows[key] = row
		return nil
	})
	if err != nil {
		return table.Row{}, err
	}
	return copyRow(row), nil
}

// Delete implements table.Table.
func (p *Platform) Delete(ctx context.Context, key string, want uint64) error {
	return p.write(ctx, key, func() error {
		if err := p.check(key, want); err != nil {
			return err
		}
		delete(p.rows, key)
		return nil
	})
}

// PutObject implements table.Objects.
func (p *Platform) PutObject(ctx context.Context, name string, value []byte) error {
	if len(value) > table.MaxObjectBytes {
		return errors.Wrapf(table.ErrTooLarge, "put object %q of %d bytes", name, len(value))
	}
	value = append([]byte{}, value...)
	return p.write(ctx, name, func() error {
		p.objects[name] = value
		return nil
	})
}

// GetObject implements table.Objects.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.beforeRead(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	value, ok := p.objects[name]
	if !ok {
		return nil, errors.Wrapf(table.ErrNotFound, "object %q", name)
	}
	return append([]byte{}, value...), nil
}

func (p *Platform) check(key string, want uint64) error {
	if current := p.rows[key]; current.Version != want {
		return &table.ConflictError{Key: key, Want: want, Current: copyRow(current)}
	}
	return nil
}

func (p *Platform) beforeRead(ctx context.Context) error {
	p.mu.Lock()
	p.counts.Reads++
	f := p.faults
	p.mu.Unlock()
	if err := wait(ctx, f); err != nil {
		return err
	}
	if f.Unavailable {
		return errors.Wrap(table.ErrUnavailable, "stand-in is set to be unavailable")
	}
	return nil
}

// write applies a change under the lock, with the faults. A request that is
// delayed takes effect after its delay even if the caller has gone, as it would
// at a server.
func (p *Platform) write(ctx context.Context, key string, change func() error) error {
	p.mu.Lock()
	p.counts.Writes++
	f := p.faults
	p.mu.Unlock()
	if ctx.Err() != nil {
		return errors.Wrap(table.ErrUnavailable, ctx.Err().Error())
	}
	if f.Unavailable || f.RefuseWrites {
		return errors.Wrap(table.ErrUnavailable, "stand-in is set to refuse writes")
	}
	done := make(chan error, 1)
	apply := func() { done <- p.apply(key, change) }
	if f.DelayMS == 0 {
		apply()
	} else {
		time.AfterFunc(delay(f), apply)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &table.DoubtError{Key: key, Cause: ctx.Err()}
	}
}

func (p *Platform) apply(key string, change func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if take(&p.faults.LoseRequests) {
		return &table.DoubtError{Key: key, Cause: errLost}
	}
	err := change()
	if take(&p.faults.LoseReplies) {
		return &table.DoubtError{Key: key, Cause: errLost}
	}
	return err
}

// take uses up one of a counted fault.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func delay(f PlatformFaults) time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

func wait(ctx context.Context, f PlatformFaults) error {
	timer := time.NewTimer(delay(f))
	defer timer.Stop()
	if ctx.Err() == nil {
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
		}
	}
	return errors.Wrap(table.ErrUnavailable, ctx.Err().Error())
}

func copyRow(r table.Row) table.Row {
	if r.Version > 0 {
		r.Value = append([]byte{}, r.Value...)
	}
	return r
}

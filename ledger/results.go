package ledger

import "github.com/sesamelift/sesamelift/wire"

// resultOverhead is the memory of a kept result besides its body, in bytes. It
// is counted so that many small results stay within the bound as well.
const resultOverhead = 192

// keep stores a result and drops the oldest ones beyond the bound.
func (l *Ledger) keep(i id, r wire.Result) {
	size := len(r.Body) + len(r.Reason) + resultOverhead
	l.results[i] = r
	l.resultOrder = append(l.resultOrder, kept{i, size})
	l.resultBytes += size
	n := 0
	for l.resultBytes > l.options.MaxResultBytes && n < len(l.resultOrder) {
		old := l.resultOrder[n].id
		n++
		if !l.dropResult(old) {
			continue
		}
		rec, _ := l.find(old)
		rec.state = wire.StateForgotten
		l.bucket(old.key)[old] = rec
	}
	l.resultOrder = l.resultOrder[n:]
}

// dropResult removes a kept result. The order of arrival may keep its id until
// trimResultOrder.
func (l *Ledger) dropResult(i id) bool {
	r, ok := l.results[i]
	if ok {
		l.resultBytes -= len(r.Body) + len(r.Reason) + resultOverhead
		delete(l.results, i)
	}
	return ok
}

// trimResultOrder removes the ids of expired results once they are the majority.
func (l *Ledger) trimResultOrder() {
	if len(l.resultOrder) <= 2*len(l.results)+64 {
		return
	}
	live := make([]kept, 0, len(l.results))
	for _, k := range l.resultOrder {
		if _, ok := l.results[k.id]; ok {
			live = append(live, k)
		}
	}
	l.resultOrder = live
}

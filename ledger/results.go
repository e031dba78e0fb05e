package ledger

import "github.com/sesamelift/sesamelift/wire"

// resultOverheadBytes is the memory of a stored result besides its body and reason.
// It is counted so that many small results stay within MaxResultBytes, too.
const resultOverheadBytes = 192

// storeResult stores a result and drops the oldest results while their total size
// exceeds MaxResultBytes.
func (l *Ledger) storeResult(id taskID, r wire.Result) {
	l.results[id] = r
	l.resultOrder = append(l.resultOrder, id)
	l.resultBytes += len(r.Body) + len(r.Reason) + resultOverheadBytes
	n := 0
	for l.resultBytes > l.options.MaxResultBytes && n < len(l.resultOrder) {
		old := l.resultOrder[n]
		n++
		if !l.dropResult(old) {
			continue
		}
		rec, _ := l.find(old)
		rec.state = wire.StateResultDropped
		l.bucket(old.key)[old] = rec
	}
	l.resultOrder = l.resultOrder[n:]
}

// dropResult removes a stored result and reports whether there was one. Its id may
// stay in resultOrder until storeResult or trimResultOrder removes it.
func (l *Ledger) dropResult(id taskID) bool {
	r, ok := l.results[id]
	if ok {
		l.resultBytes -= len(r.Body) + len(r.Reason) + resultOverheadBytes
		delete(l.results, id)
	}
	return ok
}

// trimResultOrder removes the ids of dropped results from resultOrder, once they
// outnumber the stored results by more than 64.
func (l *Ledger) trimResultOrder() {
	if len(l.resultOrder) <= 2*len(l.results)+64 {
		return
	}
	live := make([]taskID, 0, len(l.results))
	for _, id := range l.resultOrder {
		if _, ok := l.results[id]; ok {
			live = append(live, id)
		}
	}
	l.resultOrder = live
}

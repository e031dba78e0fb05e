package dispatch

import "strconv"

// describe returns step and index of a task, its worker, and the number of
// attempts.
func (t *task) describe() string {
	b := strconv.AppendUint(nil, uint64(t.id.Step), 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(t.id.Index), 10)
	if t.worker != nil {
		b = append(b, '@')
		b = append(b, t.worker.name...)
	}
	if t.attempt != 1 {
		b = append(b, " attempt "...)
		b = strconv.AppendUint(b, uint64(t.attempt), 10)
	}
	return string(b)
}

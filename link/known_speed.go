package link

import "time"

// Limits of a KnownSpeed. Workers run at 0.55 to 1.25, and at less while they are cold; values
// far beyond are faults. The speed of a worker may change while its agent is away, so that an
// old value is worth no more than the assumption that it is 1.
const (
	minKnownSpeed    = 0.1
	maxKnownSpeed    = 4
	MaxKnownSpeedAge = 60 * time.Second
	// maxWorkerIDLength bounds the memory of an agent that keeps a KnownSpeed, in bytes.
	maxWorkerIDLength = 256
)

// Valid reports whether the values are within their limits. NaN is not.
func (k *KnownSpeed) Valid() bool {
	return k.WorkerID != "" && len(k.WorkerID) <= maxWorkerIDLength && k.Speed >= minKnownSpeed && k.Speed <= maxKnownSpeed &&
		k.AgeMS >= 0 && k.AgeMS <= MaxKnownSpeedAge.Milliseconds()
}

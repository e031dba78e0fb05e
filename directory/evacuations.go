package directory

// Evacuations are the availability zones whose workers get no tasks, by order of the
// operator. Entries pass them on to each other.
type Evacuations struct {
	// Version is that of the store at which they were read. Of two states the one with the
	// higher version counts.
	Version uint64 `json:"version"`
	// Zones is sorted.
	Zones []string `json:"zones"`
}

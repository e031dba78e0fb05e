package intake

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxHeadBytes bounds the head of a request, in bytes: twice the 16,384 bytes that
	// clients may send.
	maxHeadBytes = 32 << 10
	// serverHeadSlack is what net/http reads beyond http.Server.MaxHeaderBytes, in bytes.
	serverHeadSlack = 4 << 10
	// headTimeout bounds the time for the head of a request, and idleTimeout the time
	// between two requests. Clients of the platform close idle connections after 15 s.
	headTimeout = 5 * time.Second
	idleTimeout = 60 * time.Second
	// progressTimeout is how long a body may make no progress, and bodyTimeout how long it
	// may take in all. At the largest body of 262,144 bytes the latter is 2.2 kB/s.
	progressTimeout = 15 * time.Second
	bodyTimeout     = 120 * time.Second
	// maxWriteBytes is how much is written with one deadline, and writeProbeShare the part of
	// the time-out, as one in so many, for the last try to write.
	maxWriteBytes   = 64 << 10
	writeProbeShare = 8
	// largeBytes is the size from which an unfinished request counts as large, in bytes:
	// jobs of ordinary callers have at most 6,000. A body above it is decoded together with
	// at most maxDecodes-1 others.
	largeBytes = 16 << 10
	maxDecodes = 2
	// calmRequests is how many large unfinished requests are read without pacing.
	calmRequests = 32
	// headLineBytes is the memory that a line of a head takes in the map of a parsed
	// head beyond its own bytes. Without it a head of lines of five bytes takes 20 times
	// the bytes that it is charged for.
	headLineBytes = 96
	// receiveBufferBytes is the size of the system's receive buffer of an accepted
	// connection of a process with a memory limit. Larger ones hold what a client sends while
	// its connection waits, but they are needed for large bodies over long round trips.
	receiveBufferBytes = 32 << 10

	// memoryShare is the part of the memory limit for unfinished requests, and again for
	// the tasks in progress: one in memoryShare.
	memoryShare = 8
	// minUnfinishedBytes lets a process with little memory read one request of the largest
	// legal size: a heartbeat or a frame of 4 MiB, and 256 KiB for its head.
	minUnfinishedBytes = 4<<20 + 256<<10
	// defaultUnfinishedBytes is used when no memory limit is known.
	defaultUnfinishedBytes = 64 << 20
	// connectionBytes is the memory of a connection with its goroutine and buffers, and
	// connectionMemoryShare the part of the memory limit that all callers' connections may
	// take: one in connectionMemoryShare.
	connectionBytes       = 32 << 10
	connectionMemoryShare = 4
	// serviceMemoryShare and linkMemoryShare are the same for each address for other
	// requests, and for the connections of entries.
	serviceMemoryShare = 32
	linkMemoryShare    = 8
	// fdShareCallers, fdShareLinks and fdShareService are the parts of the file descriptors
	// for the connections of callers, of entries, and at each of at most three other
	// addresses, as one in so many. The rest, a quarter or more, is for the connections that
	// the process opens itself.
	fdShareCallers = 2
	fdShareLinks   = 4
	fdShareService = 16
	// fdShareMembers is the part of the file descriptors for dials of members that have
	// announced themselves and that the store doesn't list: one in fdShareMembers. On the
	// smallest host, with 3,075 descriptors, these are 1,025, more than the 925 members of a
	// deployment of the design size.
	fdShareMembers = 3
	// maxService is more than the hosts of a deployment that register in the directory
	// of one entry or ask for it at the same time.
	maxService = 256
	// defaultFDs is assumed when neither the settings nor the system say more.
	defaultFDs = 1024
	// minSilence is how long a connection has been silent at least when it is closed for a
	// new one. In a burst of connections the requests of the first ones have not been read
	// when the last ones are accepted.
	minSilence = 50 * time.Millisecond
	// maxRechecks bounds the connections that are looked at for unread bytes before one is
	// closed: each look is a system call and another pass over the connections.
	maxRechecks = 64
	// minGreetingAge takes the place of minSilence for a connection whose first message
	// hasn't begun to arrive: it is a few round trips. With minSilence, 1,280 connections per
	// second without a message would fill the backlog of the listener and keep entries out.
	minGreetingAge = 5 * time.Millisecond
	// messageTimeout is how long a message of an entry may be unfinished before its
	// connection is closed for a new one. Entries and agents take each other for lost after
	// half a second of silence.
	messageTimeout = 2 * time.Second
	// entrySilence is how long an entry may send nothing before its connection is closed for
	// a new one. Entries send a message at least every 10 s.
	entrySilence = 15 * time.Second
	// settleStep is how often a listener looks again for a connection to close.
	settleStep = 2 * time.Millisecond
	// maxGreetings bounds the connections at the link address whose first message has not
	// arrived: entries send it at once, and there are about a dozen of them.
	maxGreetings = 64
	// pacedBytesPerCore is the rate at which large unfinished requests are read while they
	// are many, in bytes per second and core: one-byte chunks take about 25 ns per byte to
	// decode, so this is a fifth of the processor.
	pacedBytesPerCore = 8 << 20
	minPacedBytes     = 256 << 10
	// A paced read counts for at least minReadBytes, since a read of one byte takes as much
	// processor time, and returns at most maxReadBytes, so that all connections get their
	// turn soon.
	minReadBytes = 512
	maxReadBytes = 4 << 10
	// paceStep is how often a paced read looks whether its turn has come, since others may
	// have given up theirs.
	paceStep = 200 * time.Millisecond
	// paceBurst is what is read without delay after a pause, in bytes.
	paceBurst = 256 << 10
)

// Resources describes the limits under which a process runs. A value of 0 means that it is
// not known.
type Resources struct {
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that the process may have.
	Descriptors int
	// Cores is the processor time that the process may use per second.
	Cores float64
}

// Limits are the bounds of a Guard.
type Limits struct {
	// UnfinishedBytes bounds the bytes of unfinished requests of all connections.
	UnfinishedBytes int64
	// Callers, Service and Links bound the connections at the address of callers, at each
	// address for other requests, and at the address for entries.
	Callers, Service, Links int
	// Greetings bounds the connections at the address for entries that have not sent their
	// first message.
	Greetings int
	// ReceiveBufferBytes is the size of the system's receive buffer of a connection; 0 leaves
	// the default of the system.
	ReceiveBufferBytes int
	// PacedBytesPerSecond is the rate at which large unfinished requests are read while
	// they are many.
	PacedBytesPerSecond int
	// Members bounds the announced members that an entry dials although the store doesn't list
	// them.
	Members int
	// WorkBytes bounds the memory for the jobs in progress at an entry; 0 means no bound.
	WorkBytes int64
}

// Derive returns the limits for a process with the given resources.
func Derive(r Resources) Limits {
	fds := r.Descriptors
	if fds <= 0 {
		fds = defaultFDs
	}
	l := Limits{
		UnfinishedBytes: defaultUnfinishedBytes,
		Callers:         max(fds/fdShareCallers, 1), Links: max(fds/fdShareLinks, 1),
		Service:   min(max(fds/fdShareService, 1), maxService),
		Members:   max(fds/fdShareMembers, 1),
		Greetings: maxGreetings, PacedBytesPerSecond: pacedBytesPerCore,
	}
	if r.MemoryBytes > 0 {
		l.UnfinishedBytes = max(r.MemoryBytes/memoryShare, minUnfinishedBytes)
		connections := r.MemoryBytes / connectionBytes
		l.Callers = max(min(l.Callers, int(connections/connectionMemoryShare)), 1)
		l.Service = max(min(l.Service, int(connections/serviceMemoryShare)), 1)
		l.Links = max(min(l.Links, int(connections/linkMemoryShare)), 1)
		l.WorkBytes = r.MemoryBytes / memoryShare
		l.ReceiveBufferBytes = receiveBufferBytes
	}
	if r.Cores > 0 {
		l.PacedBytesPerSecond = max(int(r.Cores*pacedBytesPerCore), minPacedBytes)
	}
	return l
}

// ProcessResources returns the soft limit of the system for file descriptors; 0 if it can't
// be read. Memory and cores are not known.
func ProcessResources() Resources {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return Resources{}
	}
	return Resources{Descriptors: int(min(limit.Cur, 1<<20))}
}

package abusetest

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/dispatch"
)

const (
	// memoryMB and maxDescriptors are the limits in the settings of the platform's
	// programs. They are lower than on any host, so that a few hundred connections suffice.
	memoryMB       = 96
	maxDescriptors = 600
	// ownMemoryMB bounds the memory of the programs of the product's own interface: 64 MiB
	// of unfinished requests by default, as much again before the garbage collector
	// (GOGC=100) runs, and 64 MB for the program itself with its decoding.
	ownMemoryMB = 192
	// ownMaxDescriptors is the usual default limit of a process.
	ownMaxDescriptors = 1024
	// requestTimeout limits one try of an ordinary request, testTimeout all tries.
	requestTimeout = 3 * time.Second
	testTimeout    = 30 * time.Second
	// The clients are waited for until they have sent nothing for stallTime, or until
	// maxLoadTime: some never end. Neither decides about the result of a test.
	stallTime   = 200 * time.Millisecond
	maxLoadTime = 1500 * time.Millisecond
	sampleTime  = 10 * time.Millisecond
	retryTime   = 50 * time.Millisecond
)

// Guards against a process that is killed for its memory, runs out of file descriptors, or
// stops answering while clients send heads, bodies or frames that are too long or never end.
func TestAbusiveClients(t *testing.T) {
	for _, target := range targets {
		for _, k := range target.kinds {
			t.Run(target.name+"/"+k.name, func(t *testing.T) {
				i := target.start(t)
				i.largeChunks, i.smallChunks = chunks(i.body, 64<<10), chunks(i.body, 1)
				i.answers(t, "before the load")
				descriptors := i.load(t, k)
				i.answers(t, "with the connections open")
				descriptors = max(descriptors, i.descriptorCount(t))
				memory := i.peakMemory(t)
				t.Logf("result: peak memory %d MB, at most %d descriptors", memory>>20, descriptors)
				qt.Check(t, memory <= i.memory, qt.IsTrue, qt.Commentf("peak memory %d MB, limit %d MB", memory>>20, i.memory>>20))
				qt.Check(t, descriptors <= i.descriptors, qt.IsTrue, qt.Commentf("%d descriptors, limit %d", descriptors, i.descriptors))
			})
		}
	}
}

// Guards against an entry that is killed for its memory because of one short job: counts that
// exceed 64 bits in sum passed its limit, and it allocated tasks until then.
func TestOddNumbersInAJob(t *testing.T) {
	const largest = math.MaxInt64
	i := platformCallers(t)
	i.answers(t, "before the odd jobs")
	for n, steps := range []string{
		fmt.Sprintf(`{"count":1},{"count":%d}`, largest),
		fmt.Sprintf(`{"count":4096},{"count":%d},{"count":%d}`, largest, largest),
		fmt.Sprintf(`{"count":%d,"cpu":%d}`, largest, largest),
		fmt.Sprintf(`{"count":4096,"cpu":%d,"estimate_ms":%d}`, largest, largest),
		fmt.Sprintf(`{"count":4096,"cpu":%d,"estimate_ms":1}`, dispatch.MaxNeed),
		fmt.Sprintf(`{"count":4096,"mem_mb":%d,"anti_affinity":%d}`, dispatch.MaxNeed, largest),
	} {
		err := i.send(http.MethodPost, i.path(n), i.fields(n), fmt.Appendf(nil, `{"best_effort":true,"steps":[%s]}`, steps))
		// Before anything else, so that a process without a bound ends soon.
		memory := i.peakMemory(t)
		qt.Assert(t, memory <= i.memory, qt.IsTrue, qt.Commentf("%s: peak memory %d MB, limit %d MB", steps, memory>>20, i.memory>>20))
		qt.Check(t, err, qt.ErrorMatches, "(?s)status (400|503): .*", qt.Commentf("%s", steps))
		i.answers(t, "after "+steps)
	}
}

// load opens the connections of a kind, which stay open until the test ends, and returns
// the largest number of open descriptors of the process.
func (i *instance) load(t *testing.T, k kind) int {
	var written atomic.Int64
	var wg sync.WaitGroup
	var conns []net.Conn
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close()
		}
		wg.Wait()
	})
	for range k.connections {
		// A process may refuse such clients.
		if conn, err := net.DialTimeout("tcp", i.address, requestTimeout); err == nil {
			conns = append(conns, conn)
		}
	}
	// All connections are open before the first one sends, so that the load does not depend
	// on how fast they are opened.
	for n, conn := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.write(&abuser{conn: conn, instance: i, number: n, written: &written})
		}()
	}
	descriptors := 0
	begin, progress, last := time.Now(), time.Now(), int64(-1)
	for time.Since(progress) < stallTime && time.Since(begin) < maxLoadTime {
		descriptors = max(descriptors, i.descriptorCount(t))
		if n := written.Load(); n != last {
			progress, last = time.Now(), n
		}
		time.Sleep(sampleTime)
	}
	return descriptors
}

// answers repeats the ordinary request until it is answered.
func (i *instance) answers(t *testing.T, when string) {
	err := i.request()
	for end := time.Now().Add(testTimeout); err != nil && time.Now().Before(end); err = i.request() {
		i.checkRunning(t)
		t.Logf("ordinary request %s: %v", when, err)
		time.Sleep(retryTime)
	}
	qt.Assert(t, err, qt.IsNil, qt.Commentf("ordinary request %s", when))
	i.checkRunning(t)
}

func (i *instance) checkRunning(t *testing.T) {
	select {
	case <-i.ended:
		t.Fatal("the process has ended")
	default:
	}
}

func (i *instance) descriptorCount(t *testing.T) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.pid))
	i.checkRunning(t)
	qt.Assert(t, err, qt.IsNil)
	return len(files)
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (i *instance) peakMemory(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.pid))
	qt.Assert(t, err, qt.IsNil)
	for line := range bytes.Lines(status) {
		if fields := bytes.Fields(line); len(fields) == 3 && string(fields[0]) == "VmHWM:" {
			kilobytes, err := strconv.Atoi(string(fields[1]))
			qt.Assert(t, err, qt.IsNil)
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

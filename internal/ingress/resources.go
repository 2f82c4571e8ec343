package ingress

import (
	"math"
	"syscall"

	"github.com/rotisserie/eris"
)

// The shares of the process's memory and descriptors below leave room for the answers (a quarter of the memory), for the bodies of
// replicas and helpers (a sixteenth each), and for what the daemon knows of the fleet.
const (
	// receptionMemoryShare is the share of the memory for the requests of callers, and again for those of other daemons.
	receptionMemoryShare = 1.0 / 8
	// callerConnectionShare and internalConnectionShare are the shares of the memory for connections, and connectionBytes what one takes:
	// the buffers of net/http (2 x 4 KiB), the stacks of its goroutine and of the one that watches for the caller's end, the connection
	// itself, and 4 KiB of a body that its budget always admits.
	callerConnectionShare   = 1.0 / 6
	internalConnectionShare = 1.0 / 8
	connectionBytes         = 28 << 10
	// reservedDescriptors is the number of descriptors that are set aside for files. Of the rest, callers' connections may use
	// callerDescriptorShare and those of daemons, load balancers and metrics internalDescriptorShare; the daemon's own connections need the rest.
	reservedDescriptors     = 200
	callerDescriptorShare   = 1.0 / 2
	internalDescriptorShare = 1.0 / 4
	// minConnections is the least number of connections, for settings with very few descriptors.
	minConnections = 16
	// maxMessageMemoryShare limits a single message.
	maxMessageMemoryShare = 1.0 / 8
	// answerMemoryShare is the share of the memory for answers that wait for their callers.
	answerMemoryShare = 1.0 / 4
	// heapLimitShare of the memory is the soft limit of the Go heap. The rest is for stacks, kernel buffers and received bytes that have not
	// been read yet.
	heapLimitShare = 0.7
)

// Resources holds the limits of a process: its memory in bytes, and its number of descriptors, 0 for no limit.
type Resources struct {
	MemoryBytes    int64
	MaxDescriptors int
}

// WithinSystemLimit returns the resources with the operating system's limit of descriptors, if that is lower.
func (r Resources) WithinSystemLimit() (Resources, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return r, eris.Wrap(err, "limit of descriptors")
	}
	if r.MaxDescriptors == 0 || limit.Cur < uint64(r.MaxDescriptors) {
		r.MaxDescriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return r, nil
}

// AnswerBytes returns the memory for answers that wait until their callers have received them.
func (r Resources) AnswerBytes() int64 { return int64(answerMemoryShare * float64(r.MemoryBytes)) }

// HeapLimit returns the soft limit of the Go heap in bytes, for debug.SetMemoryLimit.
func (r Resources) HeapLimit() int64 { return int64(heapLimitShare * float64(r.MemoryBytes)) }

// MaxMessageBytes returns the maximum size of a single message from another daemon.
func (r Resources) MaxMessageBytes() int64 {
	return int64(maxMessageMemoryShare * float64(r.MemoryBytes))
}

// budgetBytes returns the memory for the requests of a kind of ports.
func (r Resources) budgetBytes() int64 { return int64(receptionMemoryShare * float64(r.MemoryBytes)) }

// maxConnections returns the limits on callers' connections and on internal ones.
func (r Resources) maxConnections() (callers, internal int) {
	callers = int(callerConnectionShare * float64(r.MemoryBytes) / connectionBytes)
	internal = int(internalConnectionShare * float64(r.MemoryBytes) / connectionBytes)
	if r.MaxDescriptors > 0 {
		forConnections := float64(max(0, r.MaxDescriptors-reservedDescriptors))
		callers = min(callers, int(callerDescriptorShare*forConnections))
		internal = min(internal, int(internalDescriptorShare*forConnections))
	}
	return max(minConnections, callers), max(minConnections, internal)
}

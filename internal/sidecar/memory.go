// This file accounts for the memory of the process: what the operating system counts for it, how much of that the Go runtime
// may take, and how much of the runtime's share connections, requests and answers may hold. Everything that a client can make
// larger or more numerous is reserved here before it is allocated. It must never refuse to release.

package sidecar

import (
	"context"
	"iter"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clientConnBytes is what one client's connection holds: stacks of its goroutines, read and write buffers, a short head.
	clientConnBytes = 16 << 10
	// attemptBytes is what one attempt holds with its connection to an endpoint and a short answer.
	attemptBytes = 16 << 10
	// idleConnBytes is what an idle connection to an endpoint holds.
	idleConnBytes = 10 << 10
	// parsedHeadFactor is the memory of a parsed head and of its copy for the endpoint, as a multiple of its length.
	parsedHeadFactor = 4
	// maxReserveShare is the divisor of what is free that gives the largest single reservation: what asks for much is refused
	// first, and what asks for little still fits (dynamic thresholds, Choudhury and Hahne).
	maxReserveShare = 8
	// clientShare is the share of what may be held that is set aside for clients' connections; requests have the rest.
	clientShare = 0.6
	// heldShare is the budget as a share of the runtime's memory. The rest is for garbage and for what the allocator can't use.
	heldShare = 0.5
	// runtimeBytes is what the runtime and the parts that no client can enlarge hold.
	runtimeBytes = 4 << 20
	// nativeBytes is memory outside of the runtime and of mapped files: stacks of threads, the C library.
	nativeBytes = 1 << 20
	// newProcessBytes is left free for a process that has just started, of which this one does not know yet.
	newProcessBytes = 5632 << 10
	// minRuntimeBytes is the least limit that is set for the runtime: below it, the collector would run all the time.
	minRuntimeBytes = 6 << 20
	// assumedMappedBytes is taken for the mapped files where the system does not tell their size.
	assumedMappedBytes = 10 << 20
	// limitStepBytes is the step in which the runtime's limit changes.
	limitStepBytes = 256 << 10
	// memoryRefreshInterval is the time between two looks at the mapped files.
	memoryRefreshInterval = time.Second
)

// Sizes of the buffers of one transfer, by the configured memory.
const (
	minPipeBytes        = 4 << 10
	memoryPerPipeFactor = 4096 // configured memory divided by this is the size of a pipe
	// memoryPerBufferedBody divides the configured memory into the longest body that is buffered whole.
	memoryPerBufferedBody = 256
)

// memoryPool is a bounded amount of memory. Its methods may be called by any goroutine. The zero value has no limit.
type memoryPool struct {
	mu      sync.Mutex
	bounded bool
	limit   int64
	used    int64
}

func (p *memoryPool) setLimit(limit int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounded, p.limit = true, limit
}

// tryReserve reserves n bytes for a holder that holds some already, unless that is too much of what is free.
func (p *memoryPool) tryReserve(held, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bounded && (held+n)*maxReserveShare > p.limit-p.used {
		return false
	}
	p.used += n
	return true
}

// reserve reserves n bytes of what can't be refused any more.
func (p *memoryPool) reserve(n int64) {
	p.mu.Lock()
	p.used += n
	p.mu.Unlock()
}

// release gives n reserved bytes back.
func (p *memoryPool) release(n int64) { p.reserve(-n) }

// exceededBy reports whether n more bytes go beyond the limit.
func (p *memoryPool) exceededBy(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bounded && p.used+n > p.limit
}

// figures returns how many bytes are reserved, and the limit, 0 for none.
func (p *memoryPool) figures() (used, limit int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.limit
}

// memoryBudget is how the memory of the process is divided.
type memoryBudget struct {
	configured  int64      // memory of all processes of this sidecar together; 0 for no limit
	pipeBytes   int        // of each transfer's pipe
	replaceable bool       // a new process may start beside this one, which does not know of it at once
	maxBuffered int64      // of a request's body with a length; a longer one is streamed
	clients     memoryPool // clients' connections and what was read of requests that have not arrived whole
	requests    memoryPool // requests from their heads on, attempts, answers, idle connections to endpoints

	processes    atomic.Int64 // number of processes that share the memory
	others       atomic.Int64 // resident memory of the others; 0 where they don't tell
	appliedLimit atomic.Int64 // the collector's limit; 0 before it is set
}

// newMemoryBudget returns the budget of a process that is alone in using the configured memory, in bytes.
func newMemoryBudget(configured int64) *memoryBudget {
	b := &memoryBudget{configured: configured, pipeBytes: pipeBytes, maxBuffered: max(configured/memoryPerBufferedBody, maxBufferedBodyBytes)}
	if configured > 0 {
		b.pipeBytes = int(min(max(configured/memoryPerPipeFactor, minPipeBytes), pipeBytes))
	}
	b.processes.Store(1)
	b.refresh()
	return b
}

// runtimeLimit returns how much memory the Go runtime of this process may take: its share, or what the other processes leave.
func (b *memoryBudget) runtimeLimit() int64 {
	own := min(b.configured/max(b.processes.Load(), 1), b.configured-b.others.Load())
	_, mapped := residentBytes()
	return max((own-mapped-nativeBytes)/limitStepBytes*limitStepBytes, minRuntimeBytes)
}

// refresh computes the pools' limits anew: the mapped files of the process grow with the code that has run.
func (b *memoryBudget) refresh() {
	if b.configured == 0 {
		return
	}
	held := float64(b.runtimeLimit()-runtimeBytes) * heldShare
	b.clients.setLimit(int64(held * clientShare))
	b.requests.setLimit(int64(held * (1 - clientShare)))
}

// applyToRuntime sets the collector's memory limit if it has changed. Each change stops the process for a moment.
func (b *memoryBudget) applyToRuntime() {
	if b.configured == 0 {
		return
	}
	limit := b.runtimeLimit()
	if b.replaceable && b.processes.Load() <= 1 {
		limit = max(limit-newProcessBytes, minRuntimeBytes)
	}
	if b.appliedLimit.Swap(limit) != limit {
		debug.SetMemoryLimit(limit)
	}
}

// follow computes the budget and the collector's limit anew once in a while until ctx ends.
func (b *memoryBudget) follow(ctx context.Context) {
	b.applyToRuntime()
	ticker := time.NewTicker(memoryRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.refresh()
			b.applyToRuntime()
		}
	}
}

// shareAmong divides the memory among the processes of an upgrade, of which the others hold so much now. What this process no
// longer may hold is given back to the system when another one appears, which takes it.
func (b *memoryBudget) shareAmong(processes, othersHold int64) {
	before := b.processes.Swap(processes)
	b.others.Store(othersHold)
	b.refresh()
	b.applyToRuntime()
	if processes > before && b.configured > 0 {
		debug.FreeOSMemory()
	}
}

// pools returns the pools in a fixed order, by their names for operators.
func (b *memoryBudget) pools() iter.Seq2[string, *memoryPool] {
	return func(yield func(string, *memoryPool) bool) {
		_ = yield("clients", &b.clients) && yield("requests", &b.requests)
	}
}

// transferBytes returns what one streamed request or answer holds: two buffers of the pipe and the chunk in hand.
func (b *memoryBudget) transferBytes() int64 { return int64(2*b.pipeBytes + b.chunkBytes()) }

// requestBodyBytes returns what the body of a request holds at the most.
func (b *memoryBudget) requestBodyBytes(length int64, chunked bool) int64 {
	switch {
	case chunked: // buffered up to a limit, then streamed
		return maxBufferedBodyBytes + b.transferBytes()
	case length > b.maxBuffered:
		return b.transferBytes()
	}
	return max(length, 0)
}

// chunkBytes returns how much of a transfer is read or written at once.
func (b *memoryBudget) chunkBytes() int { return max(b.pipeBytes/2, minPipeBytes) }

// reservation is what one request holds of a budget, from its head to its answer.
type reservation struct {
	pool *memoryPool
	mu   sync.Mutex
	held int64
	over bool // it was released for good
}

// tryGrow reserves n more bytes unless that is too much of what is free. A nil reservation has no limit.
func (r *reservation) tryGrow(n int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || !r.pool.tryReserve(r.held, n) {
		return false
	}
	r.held += n
	return true
}

// grow reserves n more bytes of what can't be refused any more.
func (r *reservation) grow(n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.over {
		r.pool.reserve(n)
		r.held += n
	}
}

// releaseAll gives back all that the request held. It may be called more than once.
func (r *reservation) releaseAll() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.release(r.held)
	r.held, r.over = 0, true
}

// residentBytes returns the process's resident memory, and how much of it is mapped files (proc_pid_statm(5)).
func residentBytes() (all, mapped int64) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, assumedMappedBytes
	}
	const residentField, sharedField = 1, 2
	fields := strings.Fields(string(text))
	if len(fields) <= sharedField {
		return 0, assumedMappedBytes
	}
	pages := func(field int) int64 {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0
		}
		return n * int64(os.Getpagesize())
	}
	return pages(residentField), pages(sharedField)
}

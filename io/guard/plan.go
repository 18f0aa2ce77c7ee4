package guard

import (
	"syscall"
)

// Plan is how the memory and the descriptors of a machine are divided.
type Plan struct {
	// Budget is the memory for header sections, bodies, replies and answers beyond freeBytes each.
	Budget int64
	// MemoryLimit is the limit for the garbage collector.
	MemoryLimit int64
	// Callers, Control and Other are the numbers of connections of the callers' listener, of the
	// one for peers and operators, and of each other one. The rest of the descriptors is for
	// servers, the store, links to peers, and files.
	Callers, Control, Other int
	// Active is the number of callers' requests that may be in progress.
	// ControlActive and OtherActive are the same for the other listeners.
	Active, ControlActive, OtherActive int
	// HeaderBytes is the maximum size of the header section of a caller's request if the operators set none.
	HeaderBytes int
	// ReplyBytes is the maximum size of the body of a server's reply.
	ReplyBytes int64
	// SocketBuffer is the size of the receive and send buffer of a connection.
	SocketBuffer int
}

const (
	// fileDescriptors is the number of descriptors that are set aside for files.
	fileDescriptors = 200
	// budgetFraction is the fraction of the memory that is the budget, maxBudget at most. What is counted
	// takes up to twice its size until it is collected.
	budgetFraction = 10
	maxBudget      = 1 << 30
	// maxHeaderBytes is the maximum size of a header section on a machine with enough memory. headerFraction
	// is the fraction of the memory that one may have. While net/http reads a long line it leaves several
	// times its size to the collector, which may take long to run on a busy machine.
	maxHeaderBytes = 1 << 20
	headerFraction = 512
	// replyFraction is the fraction of the memory that the body of a reply may have. It is copied once.
	replyFraction = 8
	// connectionMemory is the memory of a connection without a request: its goroutine, 8 KiB of
	// buffers in net/http and freeBytes.
	connectionMemory = 48 << 10
	// activeMemory is the memory of a request in progress beside the budget. The kernel may hold
	// two full socket buffers, at twice their size each.
	activeMemory = 256 << 10
	// minSocketBuffer is the minimum size of socket buffers, and maxSocketBuffer the maximum. With 16 KiB, exchanges
	// of 256 KiB over a loopback interface took 44 ms, and below 0.1 ms with 32 KiB: half of the
	// window has to hold a segment.
	minSocketBuffer = 32 << 10
	maxSocketBuffer = 1 << 20
	// activeBuffers is the number of socket buffers of the smallest size in activeMemory.
	activeBuffers = activeMemory / minSocketBuffer
	// maxCallers bounds the connections of callers, and maxControl those of peers and operators.
	maxCallers = 16 << 10
	maxControl = 1024
	maxOther   = 64
	minOther   = 8
	// controlActive and otherActive bound the requests in progress on the other listeners.
	controlActive = 64
	otherActive   = 16
)

// PlanFor divides a machine with the given bytes of memory. For 0 descriptors the number is what the operating
// system allows.
func PlanFor(memory int64, descriptors int) (p Plan) {
	allowed := allowedDescriptors()
	if descriptors == 0 || descriptors > allowed {
		descriptors = allowed
	}
	usable := max(descriptors-fileDescriptors, descriptors/2)
	p.Callers = min(usable/2, maxCallers, int(memory/connectionMemory))
	p.Control = min(usable/4, maxControl)
	p.Other = min(max(usable/32, minOther), maxOther)
	p.Active, p.ControlActive, p.OtherActive = int(min(memory/activeMemory, maxCallers)), controlActive, otherActive
	p.HeaderBytes = int(min(maxHeaderBytes, memory/headerFraction))
	p.ReplyBytes = min(maxReplyBytes, memory/replyFraction)
	p.Budget = min(memory/budgetFraction, maxBudget)
	// The rest is for what the kernel holds and for the program itself.
	p.MemoryLimit = memory / 10 * 7
	p.SocketBuffer = int(min(memory/int64(p.Active)/activeBuffers, maxSocketBuffer))
	return p
}

// allowedDescriptors returns how many descriptors the operating system allows the process.
func allowedDescriptors() int {
	const unknown = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	return int(min(limit.Cur, 1<<20))
}

// Package crowd holds tests of an instance under clients that exhaust memory and descriptors.
// They run the real program as a process on loopback addresses. Its machine, as its settings
// describe it, is small, so that few clients exhaust an instance without limits.
package crowd

package guard

import (
	"math"
	"os"
	"path"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// Memory is the memory that the process may use.
type Memory struct {
	Bytes int64
	// Source says where the size is from.
	Source string
}

const (
	// minMemory is the least memory that an instance assumes.
	minMemory = 32 << 20
	// unknownMemory is assumed if the operating system says nothing.
	unknownMemory = 1 << 30
	// threadStack is the address space of the stack of a thread, which limits on the process count in full.
	threadStack = 8 << 20
)

// SystemMemory returns the memory that the operating system lets the process use, as it was at the first call.
var SystemMemory = sync.OnceValue(func() Memory {
	return systemMemory(
		func(name string) string {
			// A source that can't be read says nothing.
			data, _ := os.ReadFile(name)
			return string(data)
		},
		func(resource int) uint64 {
			var limit syscall.Rlimit
			if err := syscall.Getrlimit(resource, &limit); err != nil {
				return math.MaxUint64
			}
			return limit.Cur
		},
		runtime.GOMAXPROCS(0),
	)
})

// systemMemory returns the smallest of the limits of the process's control groups and their parents, the limits on the
// process, and the memory of the machine. Files that can't be read are empty. The processors have a thread each.
func systemMemory(read func(name string) string, limitOf func(resource int) uint64, processors int) Memory {
	least := Memory{Bytes: math.MaxInt64}
	offer := func(source string, n int64) {
		if n > 0 && n < least.Bytes {
			least = Memory{Bytes: n, Source: source}
		}
	}
	for _, name := range cgroupFiles(read("/proc/self/cgroup")) {
		// The file has "max" if there is no limit.
		if n, err := strconv.ParseInt(strings.TrimSpace(read(name)), 10, 64); err == nil {
			offer(name, n)
		}
	}
	status := read("/proc/self/status")
	resident := kilobytes(status, "RssAnon:")
	for _, l := range []struct {
		name     string
		resource int
		mapped   int64
	}{
		{"RLIMIT_AS", syscall.RLIMIT_AS, kilobytes(status, "VmSize:")},
		{"RLIMIT_DATA", syscall.RLIMIT_DATA, kilobytes(status, "VmData:")},
	} {
		if limit := limitOf(l.resource); limit < math.MaxInt64 {
			// What is mapped and not used counts too, and so will the stacks of further threads.
			unused := max(l.mapped-resident, 0) + int64(processors)*threadStack
			offer(l.name, max(int64(limit)-unused, minMemory))
		}
	}
	offer("/proc/meminfo", kilobytes(read("/proc/meminfo"), "MemTotal:"))
	if least.Source == "" {
		return Memory{Bytes: unknownMemory, Source: "default"}
	}
	least.Bytes = max(least.Bytes, minMemory)
	return least
}

// cgroupFiles returns the files that may have a memory limit of the process, by the text of /proc/self/cgroup: those of
// its control groups and of their parents.
func cgroupFiles(text string) (names []string) {
	for line := range strings.Lines(text) {
		// A line has a number, the controllers and a path. Version 2 has the number 0 and no controllers.
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(fields) < 3 {
			continue
		}
		root, name := "/sys/fs/cgroup", "memory.max"
		switch {
		case fields[0] == "0" && fields[1] == "":
		case strings.Contains(","+fields[1]+",", ",memory,"):
			root, name = "/sys/fs/cgroup/memory", "memory.limit_in_bytes"
		default:
			continue
		}
		for group := path.Clean("/" + fields[2]); ; group = path.Dir(group) {
			names = append(names, path.Join(root, group, name))
			if group == "/" {
				break
			}
		}
	}
	return names
}

// kilobytes returns the size that a field of a file of /proc has, in bytes, or 0.
func kilobytes(text, field string) int64 {
	for line := range strings.Lines(text) {
		rest, ok := strings.CutPrefix(line, field)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64>>10 {
			return 0
		}
		return n << 10
	}
	return 0
}

package guard

import (
	"math"
	"slices"
	"syscall"
	"testing"
)

// TestSystemMemoryIsTheSmallestLimit guards against an instance that takes more than one of the limits on it: without a
// machine in its settings it had no bound.
func TestSystemMemoryIsTheSmallestLimit(t *testing.T) {
	const (
		own    = "/sys/fs/cgroup/pods/one/memory.max"
		parent = "/sys/fs/cgroup/pods/memory.max"
		first  = "/sys/fs/cgroup/memory/pods/memory.limit_in_bytes"
	)
	status := "VmSize:\t 1000000 kB\nRssAnon:\t    2000 kB\nVmData:\t  102000 kB\n"
	tests := []struct {
		name   string
		files  map[string]string
		limits map[int]uint64
		want   Memory
	}{
		{"nothing is known", nil, nil, Memory{1 << 30, "default"}},
		{"only the machine", map[string]string{"/proc/meminfo": "MemFree: 5 kB\nMemTotal:       33554432 kB\n"}, nil, Memory{32 << 30, "/proc/meminfo"}},
		{"odd contents", map[string]string{"/proc/meminfo": "MemTotal: many kB\n", "/proc/self/cgroup": "0\n::\nx:memory\n"}, nil, Memory{1 << 30, "default"}},
		{
			"own group",
			map[string]string{"/proc/self/cgroup": "0::/pods/one\n", own: "134217728\n", parent: "268435456\n", "/proc/meminfo": "MemTotal: 1048576 kB\n"},
			nil,
			Memory{128 << 20, own},
		},
		{"parent", map[string]string{"/proc/self/cgroup": "0::/pods/one\n", own: "max\n", parent: "268435456\n"}, nil, Memory{256 << 20, parent}},
		{
			"version 1",
			map[string]string{"/proc/self/cgroup": "5:cpu,memory:/pods\n4:cpuset:/x\n0::/\n", first: "67108864\n"},
			nil,
			Memory{64 << 20, first},
		},
		{"version 1 without a limit", map[string]string{"/proc/self/cgroup": "4:memory:/pods\n", first: "9223372036854771712\n", "/proc/meminfo": "MemTotal: 1048576 kB\n"}, nil, Memory{1 << 30, "/proc/meminfo"}},
		{
			"data",
			map[string]string{"/proc/self/status": status},
			map[int]uint64{syscall.RLIMIT_DATA: 256 << 20},
			Memory{256<<20 - 100_000<<10 - 4*threadStack, "RLIMIT_DATA"},
		},
		{
			"address space",
			map[string]string{"/proc/self/status": status},
			map[int]uint64{syscall.RLIMIT_AS: 2 << 30},
			Memory{2<<30 - 998_000<<10 - 4*threadStack, "RLIMIT_AS"},
		},
		{"less than the program", map[string]string{"/proc/self/status": status}, map[int]uint64{syscall.RLIMIT_AS: 64 << 20}, Memory{minMemory, "RLIMIT_AS"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := systemMemory(func(name string) string { return test.files[name] }, func(resource int) uint64 {
				if limit, ok := test.limits[resource]; ok {
					return limit
				}
				return math.MaxUint64
			}, 4)
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestCgroupFiles(t *testing.T) {
	want := []string{"/sys/fs/cgroup/memory/a/memory.limit_in_bytes", "/sys/fs/cgroup/memory/memory.limit_in_bytes", "/sys/fs/cgroup/memory.max"}
	if got := cgroupFiles("9:memory:/a\n8:pids:/b\n0::/\n"); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestPlanScalesWithinLimits guards against limits that grow without a bound with the memory of a large machine, and
// against ones that an ordinary caller meets there.
func TestPlanScalesWithinLimits(t *testing.T) {
	p := PlanFor(32<<30, 0)
	if got, want := p.Budget, int64(maxBudget); got != want {
		t.Errorf("budget: got %d, want %d", got, want)
	}
	if got, want := p.Active, maxCallers; got != want {
		t.Errorf("active: got %d, want %d", got, want)
	}
	if got, want := p.HeaderBytes, maxHeaderBytes; got != want {
		t.Errorf("header bytes: got %d, want %d", got, want)
	}
	if got, want := p.ReplyBytes, int64(maxReplyBytes); got != want {
		t.Errorf("reply bytes: got %d, want %d", got, want)
	}
	if got, want := p.SocketBuffer, 256<<10; got != want {
		t.Errorf("socket buffer: got %d, want %d", got, want)
	}
	small := PlanFor(64<<20, 0)
	if got, want := small.SocketBuffer, minSocketBuffer; got != want {
		t.Errorf("socket buffer with 64 MB: got %d, want %d", got, want)
	}
	if got, want := small.Active, 256; got != want {
		t.Errorf("active with 64 MB: got %d, want %d", got, want)
	}
}

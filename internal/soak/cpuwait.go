package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// cpuWaits returns how long each thread of a process has waited for a CPU since its start,
// according to the kernel's scheduler statistics. It is empty if they can't be read.
func cpuWaits(pid int) map[string]time.Duration {
	out := map[string]time.Duration{}
	dir := "/proc/" + strconv.Itoa(pid) + "/task"
	tasks, err := os.Open(dir)
	if err != nil {
		return out
	}
	defer func() { _ = tasks.Close() }()
	threads, _ := tasks.Readdirnames(-1)
	for _, thread := range threads {
		data, err := os.ReadFile(filepath.Join(dir, thread, "schedstat"))
		if err != nil {
			// The thread has ended.
			continue
		}
		if fields := strings.Fields(string(data)); len(fields) >= 2 {
			ns, _ := strconv.ParseInt(fields[1], 10, 64)
			out[thread] = time.Duration(ns)
		}
	}
	return out
}

// maxCPUWait returns the longest time that a thread waited for a CPU between two results of
// cpuWaits.
func maxCPUWait(before, after map[string]time.Duration) (longest time.Duration) {
	for f, d := range after {
		longest = max(longest, d-before[f])
	}
	return longest
}

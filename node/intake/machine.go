package intake

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	policy "github.com/carobmill/carobmill/policy/intake"
)

// MachineOf returns what the process may use: what the settings state, or else what the
// operating system reports.
func MachineOf(l *pb.Limits) policy.Machine {
	m := policy.Machine{Memory: int64(l.GetMemoryMb()) << 20, Descriptors: int(l.GetMaxDescriptors())}
	if m.Memory == 0 {
		m.Memory = systemMemory()
	}
	if m.Descriptors == 0 {
		m.Descriptors = descriptorLimit()
	}
	return m
}

// descriptorLimit returns the limit of open descriptors; 0 if it is unknown.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// LimitHeap makes the garbage collector run more often when the process approaches the memory
// of its machine. A limit from the environment remains.
func LimitHeap(m policy.Machine) {
	if limit := m.HeapLimit(); limit > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(limit)
	}
}

package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// PeakMemoryMB returns the largest resident set of a process so far, in MB. It reads /proc.
func PeakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "peak memory")
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb >> 10, errors.Wrap(err, "peak memory")
		}
	}
	return 0, errors.New("the kernel reports no peak memory")
}

// Descriptors returns the number of open descriptors of a process. It reads /proc.
func Descriptors(pid int) (int, error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open), errors.Wrap(err, "open descriptors")
}

package intake

import "golang.org/x/sys/unix"

// systemMemory returns the memory of the machine in bytes; 0 if it is unknown.
func systemMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

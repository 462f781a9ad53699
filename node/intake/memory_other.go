//go:build !linux

package intake

// systemMemory returns the memory of the machine in bytes; 0 if it is unknown.
func systemMemory() int64 { return 0 }

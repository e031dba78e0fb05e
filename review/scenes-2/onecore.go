package main

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// startOnOneCore starts a process that may use one core, as on the users' machines. It
// inherits that from the thread that starts it.
func startOnOneCore(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	var before, one [128]byte
	n, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(before), uintptr(unsafe.Pointer(&before)))
	if errno != 0 {
		runtime.UnlockOSThread()
		return cmd.Start()
	}
	for i := int(n) - 1; i >= 0; i-- {
		if before[i] != 0 {
			for bit := 7; bit >= 0; bit-- {
				if before[i]&(1<<bit) != 0 {
					one[i] = 1 << bit
					break
				}
			}
			break
		}
	}
	_, _, errno = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, n, uintptr(unsafe.Pointer(&one)))
	err := cmd.Start()
	if errno == 0 {
		_, _, errno = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, n, uintptr(unsafe.Pointer(&before)))
	}
	// A thread that can't be put back ends with its goroutine.
	if errno == 0 {
		runtime.UnlockOSThread()
	}
	return err
}

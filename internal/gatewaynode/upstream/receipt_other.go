//go:build !linux

package upstream

import "syscall"

// acknowledged is not known here.
func acknowledged(syscall.Conn) (all, known bool) { return false, false }

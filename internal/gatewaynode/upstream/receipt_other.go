//go:build !linux

package upstream

import "syscall"

// acknowledged always reports that the state is unknown on this system.
func acknowledged(syscall.Conn) (all, known bool) { return false, false }

//go:build !linux

package httpwire

import "syscall"

// stateOf returns stateUnknown. A reset that a Write is told of later than unknownEndWait after
// the end was read counts as an orderly end.
func stateOf(syscall.Conn) connState { return stateUnknown }

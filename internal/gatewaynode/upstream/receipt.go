package upstream

import (
	"errors"
	"io"
	"net"
)

// Receipt is how much of a call the backend had read when the connection ended.
type Receipt int

const (
	// ReceiptUnknown means that the connection was reset, or closed by this node.
	ReceiptUnknown Receipt = iota
	// ReceiptPartial means that the call was not read completely, or not at all.
	ReceiptPartial
	// ReceiptComplete means that the call was read completely.
	ReceiptComplete
)

// String returns the name of the receipt in logs.
func (r Receipt) String() string { return [...]string{"unknown", "partial", "whole"}[r] }

// acknowledger is implemented by connections in tests that know whether all bytes written to
// them were read.
type acknowledger interface{ Acknowledged() bool }

// receiptOf returns the receipt of a call whose connection failed with err. A peer that
// closes a connection with unread data, or receives data after closing it, sends a reset. So
// after an orderly close, acknowledged bytes were read by the process, and unacknowledged
// ones never will be.
func receiptOf(conn net.Conn, err error) Receipt {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return ReceiptUnknown
	}
	all, known := false, false
	switch c := conn.(type) {
	case *net.TCPConn:
		all, known = acknowledged(c)
	case acknowledger:
		all, known = c.Acknowledged(), true
	}
	switch {
	case !known:
		return ReceiptUnknown
	case all:
		return ReceiptComplete
	}
	return ReceiptPartial
}

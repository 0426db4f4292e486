package upstream

import (
	"errors"
	"io"
	"net"
)

// Receipt is what is known of how much of a call the other side of its connection had read
// when that ended.
type Receipt int

// The receipts of a call.
const (
	// ReceiptUnknown: the connection was reset, or ended by this node.
	ReceiptUnknown Receipt = iota
	// ReceiptPartial: not all of it was read, perhaps nothing.
	ReceiptPartial
	// ReceiptWhole: all of it was read.
	ReceiptWhole
)

// String returns the receipt for logs.
func (r Receipt) String() string { return [...]string{"unknown", "partial", "whole"}[r] }

// acknowledger is a connection that tells itself whether all bytes that were written to it
// were read, as those of tests do.
type acknowledger interface{ Acknowledged() bool }

// receiptOf returns the receipt of a call whose connection failed with an error. A system that
// closes a connection with bytes that its process did not read resets it, and one that has
// closed it resets it when bytes come. So after an orderly end, bytes that are acknowledged
// were read before, and others never are.
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
		return ReceiptWhole
	}
	return ReceiptPartial
}

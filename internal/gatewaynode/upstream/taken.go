package upstream

import (
	"errors"
	"io"
	"net"
)

// taken tells whether the other side had read all of a call when it ended the connection,
// which failed with an error. A system that closes a connection with bytes that its process
// did not read resets it, and one that has closed it resets it when bytes come. So an orderly
// end after which all bytes are acknowledged tells that they were read before. It is false
// where that is not known, as on connections that are not TCP's own.
func taken(conn net.Conn, err error) bool {
	socket, tcp := conn.(*net.TCPConn)
	orderly := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return tcp && orderly && acknowledged(socket)
}

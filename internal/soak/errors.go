package soak

import (
	"errors"
	"net"
)

// refusedConnection tells that a connection never came up.
func refusedConnection(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

//go:build !linux

package upstream

import "net"

// endOfPeer returns peerEndUnknown: the state of a connection is not known on this system.
func endOfPeer(net.Conn) peerEnd { return peerEndUnknown }

package relay

import "errors"

// errNoPeer says that no other node could be reached.
var errNoPeer = errors.New("relay: no other node")

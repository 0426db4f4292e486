package storerelay

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/internal/memnet"
)

// poorListener fails a number of times before it accepts.
type poorListener struct {
	net.Listener
	failures []error
}

func (l *poorListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		failure := l.failures[0]
		l.failures = l.failures[1:]
		return nil, failure
	}
	return l.Listener.Accept()
}

// A node that has no descriptor left for other nodes goes on, and serves them again once
// it has; it ends only where the listener is of no more use.
func TestListenerThatLacksSomething(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := eventlog.New(logrus.New(), io.Discard)
		defer log.Close()
		network := memnet.NewNetwork()
		listener, err := network.Listen("n0:90")
		if err != nil {
			t.Fatal(err)
		}
		d := New(Config{Store: rowstoretest.New(), Dial: network.Dialer("n0"), Log: log})
		served := make(chan error)
		lacking := &net.OpError{Op: "accept", Err: syscall.EMFILE}
		go func() {
			served <- d.Serve(&poorListener{Listener: listener, failures: []error{lacking, lacking, syscall.ECONNABORTED}})
		}()
		c := &client{address: "n0:90", dial: network.Dialer("n1")}
		defer c.close()
		if got, err := c.call(t.Context(), request{Operation: opList, Table: probeTable, Limit: 1}); err != nil || got.Outcome != outcomeOK {
			t.Errorf("%+v, %v", got, err)
		}
		_ = listener.Close()
		if err := <-served; !errors.Is(err, memnet.ErrClosed) {
			t.Errorf("after the listener was closed: %v", err)
		}
	})
}

package storerelay

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/internal/memnet"
)

// lateConn is a connection whose caller is told after each read, and that is ended some time
// after it was asked to.
type lateConn struct {
	net.Conn
	read func()
}

// late is how long after it was asked to a lateConn is ended.
const late = 50 * time.Millisecond

func (c *lateConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.read()
	return count, err
}

func (c *lateConn) SetDeadline(deadline time.Time) error {
	if !deadline.After(time.Now()) {
		time.Sleep(late)
	}
	return c.Conn.SetDeadline(deadline)
}

// A call whose context ends as its answer comes leaves the next one alone: the connection was
// kept, and the end of the first call's context ended the second call, whose outcome then was
// unknown.
func TestEndOfACallsContextEndsNoOtherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := eventlog.New(logrus.New(), io.Discard)
		defer log.Close()
		network := memnet.NewNetwork()
		listener, err := network.Listen("n0:90")
		if err != nil {
			t.Fatal(err)
		}
		store := rowstoretest.New()
		served := make(chan error)
		d := New(Config{Store: store, Dial: network.Dialer("n0"), Log: log})
		go func() { served <- d.Serve(listener) }()
		ctx, end := context.WithCancel(t.Context())
		dial := network.Dialer("n1")
		c := &client{address: "n0:90", dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
			conn, err := dial(ctx, kind, address)
			return &lateConn{conn, end}, err
		}}
		asked := request{Operation: opList, Table: probeTable, Limit: 1}
		if _, err := c.call(ctx, asked); err != nil {
			t.Fatal(err)
		}
		store.SetFaults(rowstoretest.Faults{Slow: 2 * late})
		if _, err := c.call(t.Context(), asked); err != nil {
			t.Errorf("the next call: %v", err)
		}
		c.close()
		_ = listener.Close()
		<-served
	})
}

// TestLargeAnswerThroughAnotherNodeIsNotCutOff guards against nodes that give up, while it is
// arriving, what another one reads for them.
func TestLargeAnswerThroughAnotherNodeIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := eventlog.New(logrus.New(), io.Discard)
		defer log.Close()
		network := memnet.NewNetwork()
		listener, err := network.Listen("n0:90")
		if err != nil {
			t.Fatal(err)
		}
		rows := rowstoretest.New()
		rows.Put("t", "", "k", make([]byte, 2*writePiece))
		served := make(chan error)
		d := New(Config{
			Store: &rowstoretest.Arriving{Store: rows, Takes: 3 * callMost, Every: 100 * time.Millisecond},
			Dial:  network.Dialer("n0"), Log: log,
		})
		go func() { served <- d.Serve(listener) }()
		c := &client{address: "n0:90", dial: network.Dialer("n1")}
		got, err := c.call(t.Context(), request{Operation: opWatch, Table: "t"})
		if err != nil || got.Outcome != outcomeOK || len(got.Rows) != 1 {
			t.Errorf("%s, %d rows, %v", got.Outcome, len(got.Rows), err)
		}
		c.close()
		_ = listener.Close()
		<-served
	})
}

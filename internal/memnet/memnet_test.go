package memnet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestCutAndHeal follows one link: an open connection breaks, and dials hang
// until they are given up.
func TestCutAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		listener, err := network.Listen("b:1")
		if err != nil {
			t.Fatal(err)
		}
		dial := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			conn, err := network.Dialer("a")(ctx, "tcp", "b:1")
			if err == nil {
				time.AfterFunc(time.Minute, func() { conn.Close() })
				_, err = conn.Read(make([]byte, 1))
			}
			return err
		}
		time.AfterFunc(time.Second, func() { network.Cut("b", "a") })
		began := time.Now()
		if err := dial(); err == nil || time.Since(began) != time.Second {
			t.Errorf("open connection: %v after %s", err, time.Since(began))
		}
		if err := dial(); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("over a cut link: %v", err)
		}
		network.Heal("a", "b")
		began = time.Now()
		if err := dial(); err == nil || time.Since(began) != time.Minute {
			t.Errorf("over a healed link: %v after %s", err, time.Since(began))
		}
		listener.Close()
		if err := dial(); !errors.Is(err, ErrRefused) {
			t.Errorf("nobody listens: %v", err)
		}
	})
}

// TestFullBacklog dials a host that accepts nothing: what is refused in the end
// is not kept.
func TestFullBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		if _, err := network.Listen("b:1"); err != nil {
			t.Fatal(err)
		}
		var err error
		for range acceptBacklog + 1 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err = network.Dialer("a")(ctx, "tcp", "b:1")
			cancel()
		}
		if kept := len(network.connections); !errors.Is(err, ErrRefused) || kept != 2*acceptBacklog {
			t.Errorf("%v, %d ends of connections are kept", err, kept)
		}
	})
}

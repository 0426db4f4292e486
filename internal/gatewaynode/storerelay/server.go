package storerelay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

const (
	// requestMost and answerMost bound a line, in bytes: what the store takes in a
	// transaction and tells in one answer, encoded.
	requestMost = 4 << 20
	answerMost  = 16 << 20
	// servedMost is how many calls of others a node makes at once: some thirty nodes
	// with their watches open.
	servedMost = 256
	// idleMost is how long a connection without a call stays open.
	idleMost = 10 * time.Second
	// acceptPause is the pause after a listener failed for want of something.
	acceptPause = 50 * time.Millisecond
	// writeMost bounds the time in which the other node takes a piece of an answer of up to
	// writePiece bytes.
	writeMost  = 2 * time.Second
	writePiece = 64 << 10
	// markEvery is the least time between two marks before an answer, see marker.
	markEvery = 250 * time.Millisecond
)

// Serve answers other nodes on a listener until it is closed.
func (d *Detour) Serve(listener net.Listener) error {
	slots := make(chan struct{}, servedMost)
	for {
		connection, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if !passing(err) {
				return err
			}
			d.config.Log.Warn(eventlog.StoreRelayed, eventlog.Fields{eventlog.Cause: "accept: " + err.Error()})
			time.Sleep(acceptPause)
			continue
		}
		go d.serveConnection(connection, slots)
	}
}

// passing tells whether a listener that failed works again by itself: it lacked
// descriptors or memory, or the connection was gone before it was taken.
func passing(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

func (d *Detour) serveConnection(connection net.Conn, slots chan struct{}) {
	defer func() { _ = connection.Close() }()
	lines := bufio.NewScanner(connection)
	lines.Buffer(nil, requestMost)
	for {
		if connection.SetReadDeadline(time.Now().Add(idleMost)) != nil || !lines.Scan() {
			return
		}
		var asked request
		if err := json.Unmarshal(lines.Bytes(), &asked); err != nil {
			d.config.Log.Warn(eventlog.StoreRelayed, eventlog.Fields{"peer": connection.RemoteAddr().String(), eventlog.Cause: err.Error()})
			return
		}
		line, err := json.Marshal(d.serveMarked(connection, asked, slots))
		if err != nil {
			panic("storerelay: an answer cannot be encoded: " + err.Error())
		}
		if writeLine(connection, append(line, '\n')) != nil {
			return
		}
	}
}

// writeLine writes a line, however long, as long as the other node takes it.
func writeLine(connection net.Conn, line []byte) error {
	for len(line) > 0 {
		if err := connection.SetWriteDeadline(time.Now().Add(writeMost)); err != nil {
			return err
		}
		n, err := connection.Write(line[:min(len(line), writePiece)])
		if err != nil {
			return err
		}
		line = line[n:]
	}
	return nil
}

// marker writes a blank before an answer now and then while that arrives from the store, so
// that the other node does not take this one for silent. Readers of JSON pass over it.
type marker struct {
	connection net.Conn
	last       time.Time
	// lost is called if the other node takes nothing any more.
	lost context.CancelCauseFunc
}

func (m *marker) mark() {
	now := time.Now()
	if now.Sub(m.last) < markEvery {
		return
	}
	m.last = now
	if err := writeLine(m.connection, []byte{' '}); err != nil {
		m.lost(err)
	}
}

// serveMarked makes a call for the node at the other end of a connection, and tells it while the
// answer is arriving.
func (d *Detour) serveMarked(connection net.Conn, asked request, slots chan struct{}) answer {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	m := &marker{connection: connection, last: time.Now(), lost: cancel}
	return d.serveCall(rowstore.WithProgress(ctx, m.mark), asked, slots)
}

// serveCall makes a call for another node, by this node's own way alone.
func (d *Detour) serveCall(ctx context.Context, asked request, slots chan struct{}) answer {
	if asked.Operation == opTell {
		return d.takeTold(asked.Message)
	}
	if !d.works() {
		return answer{Outcome: outcomeRefused, Cause: "this node does not reach the store either"}
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return answer{Outcome: outcomeRefused, Cause: "too many calls for other nodes"}
	}
	return d.makeCall(ctx, asked)
}

// makeCall makes a call by this node's own way to the store, whose answers and
// failures it takes note of.
func (d *Detour) makeCall(ctx context.Context, asked request) answer {
	var result answer
	err := d.direct(ctx, time.Duration(asked.WaitMillis)*time.Millisecond, func(ctx context.Context) error {
		var snapshot rowstore.Snapshot
		var err error
		switch {
		case asked.Operation == opCommit && asked.Transaction != nil:
			result.Revision, err = d.config.Store.Commit(ctx, *asked.Transaction)
			return err
		case asked.Operation == opList:
			snapshot, err = d.config.Store.List(ctx, asked.Table, asked.Partition, asked.From, asked.To, asked.Limit)
		case asked.Operation == opWatch:
			snapshot, err = d.config.Store.Watch(ctx, asked.Table, asked.After, time.Duration(asked.WaitMillis)*time.Millisecond)
		default:
			return rowstore.ErrInvalid
		}
		result = answer{Rows: snapshot.Rows, More: snapshot.More, Revision: snapshot.Revision, Taken: snapshot.Taken}
		return err
	})
	if err != nil {
		return answerOf(err)
	}
	result.Outcome = outcomeOK
	return result
}

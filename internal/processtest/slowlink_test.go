package processtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// slowLink stands between the nodes and a back end and can keep an order on its
// way for as long as a test wants; no clock of the nodes can tell it from a slow
// network.
type slowLink struct {
	t       *testing.T
	address string
	backend string

	mu   sync.Mutex
	held *heldOrder
}

// heldOrder is the first order of a node that passes the link.
type heldOrder struct {
	link    *slowLink
	holder  string
	arrived chan struct{}
	body    []byte
}

func newSlowLink(t *testing.T, backend string) *slowLink {
	link := &slowLink{t: t, backend: backend}
	server := httptest.NewServer(link)
	t.Cleanup(server.Close)
	link.address = server.Listener.Addr().String()
	return link
}

// holdOrderOf keeps the next order of the node.
func (l *slowLink) holdOrderOf(node string) *heldOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = &heldOrder{link: l, holder: node, arrived: make(chan struct{})}
	return l.held
}

// ServeHTTP implements http.Handler.
func (l *slowLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/orders" {
		l.forward(w, r, r.Body)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if l.keep(body) {
		<-r.Context().Done() // The sender hears nothing until it gives up.
		return
	}
	l.forward(w, r, bytes.NewReader(body))
}

// forward sends the request on and copies the answer, whose frames pass at once.
// Either side's end ends the other.
func (l *slowLink) forward(w http.ResponseWriter, r *http.Request, body io.Reader) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+l.backend+r.URL.RequestURI(), body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	request.ContentLength = r.ContentLength
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.Header().Set("Retry-After", response.Header.Get("Retry-After"))
	w.WriteHeader(response.StatusCode)
	if err := copyAtOnce(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func copyAtOnce(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 4096)
	for {
		n, err := body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if flushErr := controller.Flush(); flushErr != nil {
			return flushErr
		}
	}
}

// keep tells whether the order is the one to be held.
func (l *slowLink) keep(body []byte) bool {
	var order api.Order
	if err := json.Unmarshal(body, &order); err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil || l.held.body != nil || l.held.holder != order.Holder {
		return false
	}
	l.held.body = body
	close(l.held.arrived)
	return true
}

func (h *heldOrder) waitArrived() {
	h.link.t.Helper()
	select {
	case <-h.arrived:
	case <-time.After(waitLimit):
		h.link.t.Fatalf("%s gave no order within %s", h.holder, waitLimit)
	}
}

// deliver lets the order reach the back end and returns it with the answer; the
// code is empty if the back end obeyed.
func (h *heldOrder) deliver() (api.Order, api.Error) {
	h.link.t.Helper()
	var order api.Order
	if err := json.Unmarshal(h.body, &order); err != nil {
		h.link.t.Fatal(err)
	}
	response, err := http.Post("http://"+h.link.backend+"/v1/orders", "application/json", bytes.NewReader(h.body))
	if err != nil {
		h.link.t.Fatal(err)
	}
	defer response.Body.Close()
	var answer api.Error
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		h.link.t.Fatal(err)
	}
	return order, answer
}

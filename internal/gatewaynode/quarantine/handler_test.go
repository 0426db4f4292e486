package quarantine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestHandlerListsAndClears(t *testing.T) {
	s := newScene()
	work := workOf("w")
	for _, backend := range []string{"b1", "b2", "b3"} {
		s.tracker.ReceiveFailures(EncodeFailures([]Failure{{Work: work, Backend: backend, Service: "app", Kind: FailureRefused, Node: "n2"}}))
	}
	handler := Handler(s.tracker)
	ask := func(method, path string) (int, string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code, w.Body.String()
	}
	status, list := ask(http.MethodGet, HandlerPath)
	for _, want := range []string{work.String(), `"held":true`, `"backend":"b2"`, `"how":"refused"`, `"node":"n2"`} {
		if status != http.StatusOK || !strings.Contains(list, want) {
			t.Errorf("GET: status %d, body %s; want 200 and %s", status, list, want)
		}
	}
	if status, _ := ask(http.MethodDelete, HandlerPath+"nonsense"); status != http.StatusBadRequest {
		t.Errorf("DELETE of a malformed fingerprint: status %d, want 400", status)
	}
	if status, _ := ask(http.MethodDelete, HandlerPath+work.String()); status != http.StatusNoContent || s.tracker.Held(work) > 0 {
		t.Errorf("DELETE: status %d, %d failures; want 204 and 0", status, s.tracker.Held(work))
	}
	if status, _ := ask(http.MethodDelete, HandlerPath+work.String()); status != http.StatusNotFound {
		t.Errorf("second DELETE: status %d, want 404", status)
	}
}

package fingerprint_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

func TestFingerprintCoversHostTargetTenantAndBody(t *testing.T) {
	key := fingerprint.NewKey()
	base := fingerprint.Input{Host: "h", Target: "/a/b", Tenant: "t", Body: []byte("body")}
	copied := base
	copied.Body = bytes.Clone(base.Body)
	if key.Of(base) != key.Of(copied) {
		t.Fatal("equal requests have different fingerprints")
	}
	others := map[string]fingerprint.Input{
		"host":       {Host: "i", Target: "/a/b", Tenant: "t", Body: []byte("body")},
		"target":     {Host: "h", Target: "/a/c", Tenant: "t", Body: []byte("body")},
		"tenant":     {Host: "h", Target: "/a/b", Tenant: "u", Body: []byte("body")},
		"body":       {Host: "h", Target: "/a/b", Tenant: "t", Body: []byte("bodies")},
		"boundaries": {Host: "h", Target: "/a/bt", Tenant: "", Body: []byte("body")},
	}
	for name, other := range others {
		if key.Of(base) == key.Of(other) {
			t.Errorf("request that differs in %s has the same fingerprint", name)
		}
	}
	if second := fingerprint.NewKey(); key.Of(base) == second.Of(base) {
		t.Error("two keys give the same fingerprint")
	}
}

func TestParseAcceptsOnlyOutputOfString(t *testing.T) {
	key := fingerprint.NewKey()
	want := key.Of(fingerprint.Input{Body: []byte("x")})
	got, err := fingerprint.Parse(want.String())
	if err != nil || got != want {
		t.Errorf("Parse(%s) = %s, %v", want, got, err)
	}
	for _, text := range []string{"", "00", "zz", want.String() + "00", "g" + want.String()[1:]} {
		if _, err := fingerprint.Parse(text); err == nil {
			t.Errorf("Parse(%q) succeeded", text)
		}
	}
}

// BenchmarkOf measures the cost added to each request; 600 bytes is a typical body.
func BenchmarkOf(b *testing.B) {
	key := fingerprint.NewKey()
	for _, size := range []int{0, 600, 64 << 10, 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				key.Of(fingerprint.Input{Host: "host.example", Target: "/prefix/0123456789", Tenant: "tenant", Body: body})
			}
		})
	}
}

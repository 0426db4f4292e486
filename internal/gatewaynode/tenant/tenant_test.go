package tenant

import "testing"

func testSet() *Set {
	return NewSet([]Entry{
		{Tenant: Tenant{Name: "a", Priority: 0, Ranked: true}, Keys: []string{"ka1", "ka2"}},
		{Tenant: Tenant{Name: "b"}, Keys: []string{"kb", "ka1"}},
	})
}

func TestDecide(t *testing.T) {
	fresh, stale, locked := Knowledge{MayDeny: true, MayGrant: true}, Knowledge{MayGrant: true}, Knowledge{}
	for _, test := range []struct {
		name, key string
		set       *Set
		public    bool
		known     Knowledge
		tenant    string
		verdict   Verdict
	}{
		{"a key", "ka2", testSet(), false, fresh, "a", Granted},
		{"a key that two entries name", "ka1", testSet(), false, fresh, "a", Granted},
		{"a key while the configuration is old", "kb", testSet(), false, stale, "b", Granted},
		{"a key where old configurations let nobody in", "kb", testSet(), false, locked, "", Unsure},
		{"an unknown key", "x", testSet(), false, fresh, "", Denied},
		{"no key", "", testSet(), false, fresh, "", Denied},
		{"an unknown key while the configuration is old", "x", testSet(), false, stale, "", Unsure},
		{"a public route", "", testSet(), true, stale, "", Granted},
		{"a public route with an unknown key", "x", testSet(), true, fresh, "", Granted},
		{"a public route with a key", "kb", testSet(), true, fresh, "b", Granted},
		{"no tenants", "x", nil, false, locked, "", Granted},
		{"all tenants gone", "ka1", NewSet(nil), false, fresh, "", Denied},
	} {
		found, verdict := test.set.Decide(test.key, test.public, test.known)
		if found.Name != test.tenant || verdict != test.verdict {
			t.Errorf("%s: %q, %v, want %q, %v", test.name, found.Name, verdict, test.tenant, test.verdict)
		}
	}
}

func TestRankGoesBeforeThatOfTheRoute(t *testing.T) {
	set := testSet()
	if rank := set.Named("a").Rank(3); rank != 0 {
		t.Errorf("ranked tenant: %d", rank)
	}
	if rank := set.Named("b").Rank(3); rank != 3 {
		t.Errorf("tenant without a rank: %d", rank)
	}
	if rank := set.Named("gone").Rank(2); rank != 2 {
		t.Errorf("tenant that is gone: %d", rank)
	}
}

func TestDigestHidesTheKey(t *testing.T) {
	if Digest("") != "" || len(Digest("secret")) != 2*digestBytes || Digest("a") == Digest("b") {
		t.Errorf("%q, %q", Digest("secret"), Digest("b"))
	}
}

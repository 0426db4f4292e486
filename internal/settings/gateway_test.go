package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const gatewayFile = `name = n1
zone = hall-a
region = r
caller-address = 10.0.0.1:80
ready-address = 10.0.0.1:81
directory-address = 10.0.0.1:82
store-address = 10.0.0.9:80
config-apply = 2000ms
lease-settle = 3000ms
stop-grace = 8s
keep-jobs = 120s
`

func loadGateway(t *testing.T, content string) (*Gateway, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	target := &Gateway{}
	return target, LoadFile(path, target)
}

func TestGatewayFile(t *testing.T) {
	loaded, err := loadGateway(t, gatewayFile)
	if err != nil {
		t.Fatal(err)
	}
	if loaded.Name != "n1" || loaded.KeepJobs.Seconds() != 120 || loaded.StoreRowBytes != 65536 || loaded.LogFormat != "json" {
		t.Errorf("%+v", loaded)
	}
}

func TestGatewayDuties(t *testing.T) {
	loaded, err := loadGateway(t, gatewayFile+"duty-address = 10.0.0.8:80\nduty = metering\nduty = another\nstrict-revoke = true\nusage-window = 5s\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(loaded.Duties) != 2 || loaded.DutyAddress != "10.0.0.8:80" || !loaded.StrictRevoke || loaded.RevokeWithin.Seconds() != 5 {
		t.Errorf("%+v", loaded)
	}
}

func TestGatewayFaults(t *testing.T) {
	cases := map[string]string{
		"name = n1\n":                           "", // removed: must be set
		"caller-address = 10.0.0.1:80\n":        "caller-address = gateway.example:80\n",
		"ready-address = 10.0.0.1:81\n":         "ready-address = 10.0.0.1:80\n",
		"stop-grace = 8s\n":                     "stop-grace = 2s\n",
		"config-apply = 2000ms\n":               "config-apply = 0s\n",
		"keep-jobs = 120s\n":                    "keep-job = 120s\n",
		"store-address = 10.0.0.9:80\n":         "store-address = 10.0.0.9:0\n",
		"directory-address = 10.0.0.1:82\n":     "directory-address = 10.0.0.1:82\nlog-format = xml\n",
		"zone = hall-a\n":                       "zone = hall-a\ncpu-share = 0\n",
		"name = n1\nzone":                       "cores = many\nname = n1\nzone",
		"region = r\ncaller-address = 10.0.0.1": "region = r\ncaller-address = 0.0.0.0",
	}
	for before, after := range cases {
		if _, err := loadGateway(t, strings.Replace(gatewayFile, before, after, 1)); err == nil {
			t.Errorf("%q in place of %q was taken", after, before)
		}
	}
}

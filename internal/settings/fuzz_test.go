package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// FuzzLoad loads arbitrary files by each schema: they are refused with faults,
// or their effective settings load to the same value.
func FuzzLoad(f *testing.F) {
	const services = "table-address=[::1]:1\nobjects-address=1.1.1.1:2\nweights-address=1.1.1.1:3\nmachines-address=1.1.1.1:4\nscoring-address=1.1.1.1:5\n"
	f.Add(uint8(0), "name = n1\nzone: z\n"+services+"seed=b=1.1.1.1:2\n[Timing]\nlease-duration = \"12s\" ; x\n[Telemetry]\nhistory-file = \" a\\n;b\"\n")
	f.Add(uint8(0), "name = n1\nzone=z\n"+services+"history-file=\"a\"b\nretry-budget-share=NaN\n")
	f.Add(uint8(1), services+"control-address=1.1.1.1:6\nengine = name=e,address=1.1.1.1:7,zone=z,pool=p\nengine=\"name=f, address=1.1.1.1:8,zone=z,pool=p\"\n")
	f.Add(uint8(2), "site = s\ntrainer = name=t,train=1m\npolicy=name=p,with=queue+move\nfault=kind=cut,at=3s\nbaseline=p\n")
	f.Add(uint8(0), "[Timing\n\r\n= x\n[general]\nno-ini\x00=\"\nname = \xff\n")
	path, printed := filepath.Join(f.TempDir(), "in.ini"), filepath.Join(f.TempDir(), "out.ini")
	f.Fuzz(func(t *testing.T, schema uint8, content string) {
		fresh := func() Settings { return []Settings{&Node{}, &Emulator{}, &Experiment{}}[schema%3] }
		load := func(path, content string) (Settings, error) {
			if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			target := fresh()
			return target, LoadFile(path, target)
		}
		target, err := load(path, content)
		var faults Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("no fault of the settings: %v", err)
		}
		if err != nil {
			return
		}
		effective := Effective(target)
		again, err := load(printed, effective)
		if err != nil || !reflect.DeepEqual(again, target) {
			t.Fatalf("%+v prints\n%swhich loads to %+v: %v", target, effective, again, err)
		}
	})
}

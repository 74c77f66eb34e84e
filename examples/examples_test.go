// Package examples checks the example sets of objects.
package examples

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// TestExamplesAreInOrder loads every example, and its canonical text again.
func TestExamplesAreInOrder(t *testing.T) {
	files, err := filepath.Glob("*/objects.ini")
	if err != nil || len(files) < 3 {
		t.Fatalf("%d examples, %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		set, problems := object.Load(file, text)
		for _, p := range problems {
			t.Error(p)
		}
		again, problems := object.Load(file, []byte(object.Format(set)))
		if len(problems) > 0 || len(object.Diff(set, again)) > 0 {
			t.Errorf("%s: canonical text differs: %v %v", file, problems, object.Diff(set, again))
		}
	}
}

// TestExampleSettingsAreInOrder loads the example settings of each program.
func TestExampleSettingsAreInOrder(t *testing.T) {
	_, keeper := settings.Load[settings.Keeper]("boia-serra/keeper.ini", nil, nil)
	_, gate := settings.Load[settings.Gate]("boia-serra/gate.ini", nil, nil)
	_, ctl := settings.Load[settings.Ctl]("boia-serra/ctl.ini", nil, nil)
	for _, p := range slices.Concat(keeper, gate, ctl) {
		t.Error(p)
	}
}

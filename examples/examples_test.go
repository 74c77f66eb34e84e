// Package examples tests the example objects and settings.
package examples

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// TestExamplesAreValid loads every example set of objects, formats it and loads the
// formatted text again.
func TestExamplesAreValid(t *testing.T) {
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
			t.Errorf("%s: formatted text does not load to the same objects: %v %v", file, problems, object.Diff(set, again))
		}
	}
}

// TestExampleSettingsAreValid loads the example settings of each program.
func TestExampleSettingsAreValid(t *testing.T) {
	_, keeper := settings.Load[settings.Keeper]("boia-serra/keeper.ini", nil, nil)
	_, gate := settings.Load[settings.Gate]("boia-serra/gate.ini", nil, nil)
	_, ctl := settings.Load[settings.Ctl]("boia-serra/ctl.ini", nil, nil)
	for _, p := range slices.Concat(keeper, gate, ctl) {
		t.Error(p)
	}
}

package disk

import (
	"errors"
	"io/fs"
	"testing"
)

func writeFile(t *testing.T, m *Mem, name, text string, sync bool) File {
	t.Helper()
	f, err := m.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if sync {
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func TestCrashKeepsSyncedContent(t *testing.T) {
	m := NewMem(1)
	f := writeFile(t, m, "d/a", "synced", true)
	if err := m.SyncDir("d"); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte("tail")); err != nil {
		t.Fatal(err)
	}
	writeFile(t, m, "d/unnamed", "synced", true)
	m.Crash()
	if _, err := f.Write([]byte("x")); !errors.Is(err, ErrCrashed) {
		t.Fatalf("write after a crash: %v", err)
	}
	m.Restart()
	got, err := m.ReadFile("d/a")
	if err != nil || len(got) < 6 || len(got) > 10 || string(got) != "syncedtail"[:len(got)] {
		t.Fatalf("%q, %v", got, err)
	}
	if _, err := m.ReadFile("d/unnamed"); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("file in a directory that was not synced: %v", err)
	}
	if _, err := f.Write([]byte("x")); !errors.Is(err, ErrCrashed) {
		t.Fatalf("write to a file opened before the restart: %v", err)
	}
}

func TestFailedSyncDropsUnsyncedContent(t *testing.T) {
	m := NewMem(1)
	f := writeFile(t, m, "d/a", "kept", true)
	if _, err := f.Write([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	m.SetInjector(func(op Operation, _ string) Fault {
		if op == OpSync {
			return FailSync
		}
		return NoFault
	})
	if err := f.Sync(); !errors.Is(err, ErrSyncFailed) {
		t.Fatal(err)
	}
	m.SetInjector(nil)
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
	if got, _ := m.ReadFile("d/a"); string(got) != "kept" {
		t.Fatalf("file holds %q, want \"kept\"", got)
	}
}

package disk

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"
)

// Mem is an in-memory file system with fault injection. Use NewMem to create one.
type Mem struct {
	mu           sync.Mutex
	files        map[string]*inode // current files by name
	durableFiles map[string]*inode // files whose names survive a crash
	locks        map[string]bool
	generation   int
	crashed      bool
	injector     Injector
	rand         *rand.Rand
}

// inode holds a file's content and the number of its bytes that survive a crash.
type inode struct {
	data         []byte
	durableBytes int
}

var _ FS = (*Mem)(nil)

// NewMem returns an empty file system whose torn writes are determined by the seed.
func NewMem(seed uint64) *Mem {
	return &Mem{
		files:        map[string]*inode{},
		durableFiles: map[string]*inode{},
		locks:        map[string]bool{},
		rand:         rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetInjector sets the fault injector; nil injects no faults.
func (m *Mem) SetInjector(in Injector) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.injector = in
}

// Crash makes every operation fail until Restart.
func (m *Mem) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
}

// Crashed reports whether the file system has crashed and was not restarted.
func (m *Mem) Crashed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
}

// Restart restores the state that a crash leaves: synced content, and a prefix of unsynced appends
// that may end at any byte. Files opened before the restart remain unusable.
func (m *Mem) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.crashed = false
	m.locks = map[string]bool{}
	m.files = map[string]*inode{}
	for _, name := range sortedNames(m.durableFiles) {
		n := m.durableFiles[name]
		n.data = m.tornContent(n)
		n.durableBytes = len(n.data)
		m.files[name] = n
	}
	m.durableFiles = cloneNames(m.files)
}

func (m *Mem) tornContent(n *inode) []byte {
	extra := m.rand.IntN(len(n.data) - n.durableBytes + 1)
	return slices.Clone(n.data[:n.durableBytes+extra])
}

// Image is a copy of a file system's durable content.
type Image map[string][]byte

// Image returns a copy of the durable content, without torn writes.
func (m *Mem) Image() Image {
	m.mu.Lock()
	defer m.mu.Unlock()
	im := Image{}
	for name, n := range m.durableFiles {
		im[name] = slices.Clone(n.data[:n.durableBytes])
	}
	return im
}

// Restore replaces all content by an image and restarts the file system.
func (m *Mem) Restore(im Image) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.crashed = false
	m.locks = map[string]bool{}
	m.files = map[string]*inode{}
	for name, data := range im {
		m.files[name] = &inode{data: slices.Clone(data), durableBytes: len(data)}
	}
	m.durableFiles = cloneNames(m.files)
}

// FlipBit durably flips one bit of the byte at an offset. It panics if the offset is outside the
// file.
func (m *Mem) FlipBit(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[path.Clean(name)].data[offset] ^= 1
}

// Size returns the total size of the files whose names have a prefix.
func (m *Mem) Size(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for name, n := range m.files {
		if strings.HasPrefix(name, prefix) {
			total += len(n.data)
		}
	}
	return total
}

// MkdirAll implements FS. Directories always exist.
func (m *Mem) MkdirAll(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkCrashed()
}

// Create implements FS.
func (m *Mem) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var f File
	err := m.execute(OpCreate, name, func() error {
		n := &inode{}
		m.files[path.Clean(name)] = n
		f = &memFile{fs: m, inode: n, name: name, generation: m.generation}
		return nil
	})
	return f, err
}

// Append implements FS.
func (m *Mem) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := m.lookup("append", name)
	if err != nil {
		return nil, err
	}
	return &memFile{fs: m, inode: n, name: name, generation: m.generation}, nil
}

// ReadFile implements FS.
func (m *Mem) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := m.lookup("read", name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(n.data), nil
}

// Truncate implements FS.
func (m *Mem) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := m.lookup("truncate", name)
	if err != nil {
		return err
	}
	return m.execute(OpSync, name, func() error {
		n.data = slices.Clone(n.data[:size])
		n.durableBytes = len(n.data)
		return nil
	})
}

// Rename implements FS.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := m.lookup("rename", from)
	if err != nil {
		return err
	}
	return m.execute(OpRename, to, func() error {
		delete(m.files, path.Clean(from))
		m.files[path.Clean(to)] = n
		return nil
	})
}

// Remove implements FS.
func (m *Mem) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.lookup("remove", name); err != nil {
		return err
	}
	return m.execute(OpRemove, name, func() error {
		delete(m.files, path.Clean(name))
		return nil
	})
}

// List implements FS.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkCrashed(); err != nil {
		return nil, err
	}
	var names []string
	for _, name := range sortedNames(m.files) {
		if path.Dir(name) == path.Clean(dir) {
			names = append(names, path.Base(name))
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (m *Mem) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.execute(OpSyncDir, dir, func() error {
		m.syncNames(path.Clean(dir))
		return nil
	})
}

func (m *Mem) syncNames(dir string) {
	for name := range m.durableFiles {
		if path.Dir(name) == dir && m.files[name] == nil {
			delete(m.durableFiles, name)
		}
	}
	for name, n := range m.files {
		if path.Dir(name) == dir {
			m.durableFiles[name] = n
		}
	}
}

// Lock implements FS.
func (m *Mem) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkCrashed(); err != nil {
		return nil, err
	}
	if m.locks[name] {
		return nil, ErrLocked
	}
	m.locks[name] = true
	return &memLock{fs: m, name: name, generation: m.generation}, nil
}

func (m *Mem) checkCrashed() error {
	if m.crashed {
		return ErrCrashed
	}
	return nil
}

func (m *Mem) lookup(op, name string) (*inode, error) {
	if err := m.checkCrashed(); err != nil {
		return nil, err
	}
	n := m.files[path.Clean(name)]
	if n == nil {
		return nil, &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
	}
	return n, nil
}

// execute executes an operation, subject to an injected fault. The caller holds mu.
func (m *Mem) execute(op Operation, name string, do func() error) error {
	if err := m.checkCrashed(); err != nil {
		return err
	}
	switch m.nextFault(op, name) {
	case CrashBefore:
		m.crashed = true
		return ErrCrashed
	case CrashAfter:
		_ = do()
		m.crashed = true
		return ErrCrashed
	case FailSync:
		return ErrSyncFailed
	case Full:
		return ErrFull
	}
	return do()
}

func (m *Mem) nextFault(op Operation, name string) Fault {
	if m.injector == nil {
		return NoFault
	}
	return m.injector(op, name)
}

func sortedNames(names map[string]*inode) []string {
	out := make([]string, 0, len(names))
	for name := range names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func cloneNames(names map[string]*inode) map[string]*inode {
	out := make(map[string]*inode, len(names))
	for name, n := range names {
		out[name] = n
	}
	return out
}

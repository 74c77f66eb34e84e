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

// Mem is a file system in memory. The zero value is not usable; see NewMem.
type Mem struct {
	mu         sync.Mutex
	names      map[string]*inode // as running processes see it
	durable    map[string]*inode // as of the last SyncDir
	locked     map[string]bool
	generation int
	crashed    bool
	inject     Injector
	rand       *rand.Rand
}

// inode holds a file's content and how many bytes of it survive a crash.
type inode struct {
	data    []byte
	durable int
}

var _ FS = (*Mem)(nil)

// NewMem returns an empty file system whose torn writes follow a seed.
func NewMem(seed uint64) *Mem {
	return &Mem{
		names:   map[string]*inode{},
		durable: map[string]*inode{},
		locked:  map[string]bool{},
		rand:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetInjector replaces the injector; nil injects nothing.
func (m *Mem) SetInjector(in Injector) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inject = in
}

// Crash makes every operation fail until Restart.
func (m *Mem) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
}

// Crashed tells whether the file system is down.
func (m *Mem) Crashed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
}

// Restart brings back what a crash leaves: synced content, and of unsynced
// appends a part that may end at any byte. Files opened before stay dead.
func (m *Mem) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.crashed = false
	m.locked = map[string]bool{}
	m.names = map[string]*inode{}
	for _, name := range sortedNames(m.durable) {
		n := m.durable[name]
		n.data = m.tear(n)
		n.durable = len(n.data)
		m.names[name] = n
	}
	m.durable = cloneNames(m.names)
}

func (m *Mem) tear(n *inode) []byte {
	extra := m.rand.IntN(len(n.data) - n.durable + 1)
	return slices.Clone(n.data[:n.durable+extra])
}

// Image is a copy of a file system's durable content.
type Image map[string][]byte

// Image copies what would survive a crash without torn writes.
func (m *Mem) Image() Image {
	m.mu.Lock()
	defer m.mu.Unlock()
	im := Image{}
	for name, n := range m.durable {
		im[name] = slices.Clone(n.data[:n.durable])
	}
	return im
}

// Restore puts an image in place of everything, as after a restart.
func (m *Mem) Restore(im Image) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.crashed = false
	m.locked = map[string]bool{}
	m.names = map[string]*inode{}
	for name, data := range im {
		m.names[name] = &inode{data: slices.Clone(data), durable: len(data)}
	}
	m.durable = cloneNames(m.names)
}

// FlipBit changes one bit of a file, durably. It panics outside the file.
func (m *Mem) FlipBit(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[path.Clean(name)].data[offset] ^= 1
}

// Size returns the bytes of all files whose name has a prefix.
func (m *Mem) Size(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for name, n := range m.names {
		if strings.HasPrefix(name, prefix) {
			total += len(n.data)
		}
	}
	return total
}

// MkdirAll implements FS. Folders always exist.
func (m *Mem) MkdirAll(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down()
}

// Create implements FS.
func (m *Mem) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var f File
	err := m.strike(OpCreate, name, func() error {
		n := &inode{}
		m.names[path.Clean(name)] = n
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
	return m.strike(OpSync, name, func() error {
		n.data = slices.Clone(n.data[:size])
		n.durable = len(n.data)
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
	return m.strike(OpRename, to, func() error {
		delete(m.names, path.Clean(from))
		m.names[path.Clean(to)] = n
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
	return m.strike(OpRemove, name, func() error {
		delete(m.names, path.Clean(name))
		return nil
	})
}

// List implements FS.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.down(); err != nil {
		return nil, err
	}
	var names []string
	for _, name := range sortedNames(m.names) {
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
	return m.strike(OpSyncDir, dir, func() error {
		m.syncNames(path.Clean(dir))
		return nil
	})
}

func (m *Mem) syncNames(dir string) {
	for name := range m.durable {
		if path.Dir(name) == dir && m.names[name] == nil {
			delete(m.durable, name)
		}
	}
	for name, n := range m.names {
		if path.Dir(name) == dir {
			m.durable[name] = n
		}
	}
}

// Lock implements FS.
func (m *Mem) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.down(); err != nil {
		return nil, err
	}
	if m.locked[name] {
		return nil, ErrLocked
	}
	m.locked[name] = true
	return &memLock{fs: m, name: name, generation: m.generation}, nil
}

func (m *Mem) down() error {
	if m.crashed {
		return ErrCrashed
	}
	return nil
}

func (m *Mem) lookup(op, name string) (*inode, error) {
	if err := m.down(); err != nil {
		return nil, err
	}
	n := m.names[path.Clean(name)]
	if n == nil {
		return nil, &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
	}
	return n, nil
}

// strike carries an operation out unless a fault hits it.
func (m *Mem) strike(op Operation, name string, do func() error) error {
	if err := m.down(); err != nil {
		return err
	}
	switch m.fault(op, name) {
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

func (m *Mem) fault(op Operation, name string) Fault {
	if m.inject == nil {
		return NoFault
	}
	return m.inject(op, name)
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

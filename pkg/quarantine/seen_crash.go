package quarantine

import "time"

// SeenCrash is a crash with its times on the clock of the process that keeps it.
type SeenCrash struct {
	Crash
	Began time.Duration // the last request that was running was sent to the upstream
	At    time.Duration // the end of the upstream was noticed first
}

// merge returns what two reports of the end of one incarnation say.
func (c SeenCrash) merge(d SeenCrash) SeenCrash {
	return SeenCrash{Crash: c.Crash.merge(d.Crash), Began: max(c.Began, d.Began), At: min(c.At, d.At)}
}

// plainCrashes returns crashes without their times.
func plainCrashes(seen []SeenCrash) []Crash {
	var plain []Crash
	for _, c := range seen {
		plain = append(plain, c.Crash)
	}
	return plain
}

package memconn

// opening is how new connections between two hosts fail. The zero value is that they don't.
type opening int

const (
	openingRefused opening = iota + 1
	openingReset           // they are reset as soon as they are open
	openingMute            // they open and carry nothing
)

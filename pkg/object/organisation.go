package object

// Organisation is a customer whose requests share one queue and one weight.
type Organisation struct {
	Name      string
	Weight    int    // relative share under contention, 1 to 1000
	MaxQueued int    // maximum requests queued in one gate, 1 to 100000
	KeySHA256 string // hexadecimal digest of its API key; "" admits requests without a key
}

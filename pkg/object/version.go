package object

// Version is one set of weights of a model.
type Version struct {
	Name         string
	Model        string
	WeightsBytes int64 // bytes that each member fetches from the weights store
}

package object

// Adapter is a small addition to a model that fits some of its versions.
type Adapter struct {
	Name     string
	Model    string
	Versions []string // refer to Versions of the same model
}

package object

// Adapter is a small add-on for a model, compatible with some of its versions.
type Adapter struct {
	Name     string
	Model    string
	Versions []string // refer to Versions of the same model
}

package object

// KindDoc documents one kind of object and its fields.
type KindDoc struct {
	Kind    Kind       `json:"kind"`
	Meaning string     `json:"meaning"`
	Fields  []FieldDoc `json:"fields"`
}

// FieldDoc documents one field.
type FieldDoc struct {
	Field    string `json:"field"`
	Meaning  string `json:"meaning"`
	Allowed  string `json:"allowed"`
	Default  string `json:"default,omitempty"`
	Required bool   `json:"required,omitempty"`
}

var meanings = map[Kind]string{
	KindFailureDomain: "A part of the platform that fails and is drained as a unit.",
	KindFabricDomain:  "Hosts that share a fast interconnect fabric.",
	KindVersion:       "One set of weights of a model.",
	KindAdapter:       "A small add-on for a model, compatible with some of its versions.",
	KindModelGroup:    "Copies of a model, each on several hosts of one fabric domain.",
	KindService:       "A plain service behind the system, whose hosts announce themselves under its name.",
	KindOrganisation:  "A customer whose requests share one queue and one weight.",
}

// Describe documents all kinds, in the order of the canonical text.
func Describe() []KindDoc {
	var list []KindDoc
	for _, k := range kinds {
		doc := KindDoc{Kind: k, Meaning: meanings[k]}
		fields, _ := new(Set).add(Ref{Kind: k, Name: "name"})
		for _, f := range fields {
			d := FieldDoc{Field: f.Key, Meaning: f.Doc, Allowed: f.Allowed, Required: f.Required}
			if !f.Required {
				d.Default = f.Get()
			}
			doc.Fields = append(doc.Fields, d)
		}
		list = append(list, doc)
	}
	return list
}

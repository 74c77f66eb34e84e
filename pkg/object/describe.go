package object

// KindDoc tells what one kind of object is and what fields it has.
type KindDoc struct {
	Kind    Kind       `json:"kind"`
	Meaning string     `json:"meaning"`
	Fields  []FieldDoc `json:"fields"`
}

// FieldDoc tells what one field takes.
type FieldDoc struct {
	Field    string `json:"field"`
	Meaning  string `json:"meaning"`
	Allowed  string `json:"allowed"`
	Default  string `json:"default,omitempty"`
	Required bool   `json:"required,omitempty"`
}

var meanings = map[Kind]string{
	KindFailureDomain: "A part of the platform that fails and is taken out as one.",
	KindFabricDomain:  "Hosts that share a fast fabric.",
	KindVersion:       "One set of weights of a model.",
	KindAdapter:       "A small addition to a model that fits some of its versions.",
	KindModelGroup:    "Copies of a model, each on several hosts of one fabric domain.",
	KindService:       "A plain service behind the system, whose hosts announce themselves with its name.",
	KindOrganisation:  "A customer whose requests share one queue and one weight.",
}

// Describe lists all kinds in the order in which they are written.
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

package settings

import "github.com/sesamemux/sesamemux/pkg/object"

const nameRule = "1 to 63 of a-z, 0-9 and -, starting with a letter"

func checkName(s string) error { return object.CheckName(s) }

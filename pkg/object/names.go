package object

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

const nameRule = "1 to 63 of a-z, 0-9 and -, starting with a letter"

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// CheckName returns an error if a name is not a valid object name.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%q is not a name", name)
	}
	return nil
}

// checkOptionalName is CheckName for a field that may be empty.
func checkOptionalName(name string) error {
	if name == "" {
		return nil
	}
	return CheckName(name)
}

var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9/._~%@:+-]{0,254}$`)

func checkOptionalPath(path string) error {
	if path != "" && !pathPattern.MatchString(path) {
		return fmt.Errorf("%q is not a path", path)
	}
	return nil
}

var callMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func parseCall(s string) (Call, error) {
	parts := strings.Fields(s)
	if len(parts) != 2 {
		return Call{}, fmt.Errorf("%q is not a method and a path, such as POST /bill", s)
	}
	return Call{Method: parts[0], Path: parts[1]}, nil
}

func formatCall(c Call) string { return c.Method + " " + c.Path }

func checkCall(c Call) error {
	if !slices.Contains(callMethods, c.Method) {
		return fmt.Errorf("method %q is none of %s", c.Method, strings.Join(callMethods, ", "))
	}
	if !pathPattern.MatchString(c.Path) {
		return fmt.Errorf("%q is not a path", c.Path)
	}
	return nil
}

var headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)

func checkHeader(name string) error {
	if !headerPattern.MatchString(name) {
		return fmt.Errorf("%q is not a header name", name)
	}
	return nil
}

// digestLength is the length of a SHA-256 digest in hexadecimal digits.
const digestLength = 64

func checkDigest(s string) error {
	if s == "" {
		return nil
	}
	if _, err := hex.DecodeString(s); err != nil || len(s) != digestLength || strings.ToLower(s) != s {
		return errors.New("not a SHA-256 digest")
	}
	return nil
}

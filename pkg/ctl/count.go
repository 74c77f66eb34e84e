package ctl

import "fmt"

// quantity formats a number with its noun, in the plural unless n is 1.
func quantity(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// Package endcheck finds out whether the process of an upstream has ended, by connections to its address.
package endcheck

// Package repair decides how long to wait for a silent member before another host loads its
// weights.
package repair

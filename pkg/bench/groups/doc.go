// Package groups compares the policies of package group with baselines, over simulated days of
// failures drawn from seeds.
package groups

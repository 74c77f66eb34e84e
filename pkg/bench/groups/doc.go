// Package groups measures the policies of package group against baselines, in
// days of failures that are drawn from seeds.
package groups

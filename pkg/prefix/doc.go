// Package prefix tracks which prompt prefixes an upstream has probably cached. Cache events arrive
// late and incompletely: a gap in their sequence clears what was known of the upstream. All
// results are hints and may be wrong.
package prefix

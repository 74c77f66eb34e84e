// Package bench defines measures that compare sesamemux with baselines in one run. The measures of
// each area are in a package below this one.
package bench

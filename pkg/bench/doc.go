// Package bench holds measures that compare the product with baselines in one
// run. Areas keep their measures in packages below this one.
package bench

// Package matrix runs all rows of the fault matrix and reports them by promise.
// Its test binary is the command behind "make prove"; without the flag -matrix
// it only checks that the matrix is well formed, since the areas' own tests run
// the rows.
package matrix

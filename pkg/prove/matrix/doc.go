// Package matrix runs all rows of the fault matrix and reports them by promise.
// Its test binary is the command behind "make prove". Without the flag -matrix
// it only checks that the rows are complete, since the tests of the areas run them.
package matrix

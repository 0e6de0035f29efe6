// Package golden holds tests that compare what the service encodes, reads and prints with
// files under testdata, so that renaming in the code can't change it.
package golden

// Package golden contains tests that compare what the service encodes, reads and prints with golden files under
// testdata. A renaming in the code that changes a format fails these tests.
package golden

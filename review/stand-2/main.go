// Command stand-2 runs one case of the second review: it starts the controllers by the deploy file's run command, with small
// stand-ins of the key-value store, the cloud, the workers and the users around them, all on loopback addresses.
//
//	stand-2 CASE ROOT FOLDER
//
// ROOT is the repository, FOLDER that of the case, to which record.txt is written. The status is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(root, folder string, trouble bool) (int, error){
	"quota":  runQuota,
	"small":  runSmall,
	"faulty": runFaulty,
	"room":   runRoom,
	"filter": runFilter,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	status, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	os.Exit(status)
}

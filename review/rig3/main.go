// Command rig3 plays the cases of the third review against the project's own programs. Exit codes: 1 the rule was broken,
// 0 it held, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(trouble bool){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE")
		os.Exit(2)
	}
	var err error
	if recordOut, err = os.Create("record.txt"); err == nil {
		tempDir, err = os.MkdirTemp("", "rig3-")
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		blocked("stopped by a signal")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %v", os.Args[1], trouble)
	cases[os.Args[1]](trouble)
}

// Command cases plays one case of the review against the project's own programs. It is run in the repository, after
// review/build.sh. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// A play returns whether the rule was broken, and the reasons; an error means that it could not run.
type play func() (r *run, broken bool, verdict []string, err error)

var plays = map[string]play{
	"late-copy": lateCopy, "endless-body": endlessBody, "late-request": lateRequest, "second-leave": secondLeave, "stop-twice": stopTwice,
}

func main() { os.Exit(realMain()) }

func realMain() int {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	p := plays[flag.Arg(0)]
	if p == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	type result struct {
		r       *run
		broken  bool
		verdict []string
		err     error
	}
	done := make(chan result, 1)
	go func() {
		r, broken, verdict, err := p()
		done <- result{r, broken, verdict, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-interrupted:
		killAll()
		return 2
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "the case took too long")
		killAll()
		return 2
	case got := <-done:
		if got.r != nil {
			got.r.stop()
			if keep := os.Getenv("KEEP_LOGS"); keep == "" {
				os.RemoveAll(got.r.dir)
			} else {
				fmt.Println("logs:", got.r.dir)
			}
		}
		if got.err != nil {
			fmt.Fprintln(os.Stderr, "could not run:", got.err)
			return 2
		}
		got.r.write(*record, got.verdict)
		for _, line := range got.verdict {
			fmt.Println(line)
		}
		if got.broken {
			fmt.Println("the rule was broken")
			return 1
		}
		fmt.Println("the rule held")
		return 0
	}
}

var current *run

// killAll ends the processes of a play that did not end by itself.
func killAll() {
	if current != nil {
		current.stop()
		os.RemoveAll(current.dir)
	}
}

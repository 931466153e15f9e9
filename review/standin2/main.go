package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase ends a case that has not ended by itself.
const longestCase = 115 * time.Second

// cases are the plays by the number of their folder. Each reports whether its rule was broken.
var cases = map[int]func(p *play) (broken bool){6: repeatOutsideTheWindow, 7: longErrorPages, 8: readAndClosed, 9: restartBehindPipeline,
	10: idRunsAtTwoProcesses}

func main() {
	number, recordPath := flag.Int("case", 0, "number of the case"), flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(run(*number, *recordPath))
}

// run plays a case in the working directory, the repository's root, and returns its exit code.
func run(number int, recordPath string) (code int) {
	root, err := os.Getwd()
	if err != nil || cases[number] == nil {
		fmt.Fprintln(os.Stderr, "standin2: no such case, or no working directory:", number, err)
		return notRun
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return notRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return notRun
	}
	p := &play{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	defer os.RemoveAll(dir)
	defer p.cleanUp()
	defer func() {
		if fault := recover(); fault != nil {
			p.note("the case could not run: %v", fault)
			fmt.Fprintln(os.Stderr, "the case could not run:", fault)
			code = notRun
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longestCase):
		}
		p.note("the case was broken off")
		p.cleanUp()
		os.RemoveAll(dir)
		os.Exit(notRun)
	}()
	if cases[number](p) {
		p.note("RULE BROKEN")
		return ruleBroken
	}
	p.note("the rule held")
	return ruleHeld
}

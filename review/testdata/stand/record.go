package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held     = 0
	Broken   = 1
	NotRun   = 2
	maxCase  = 110 * time.Second
	maxLines = 200000
)

// Record is the record of a case: what was sent, answered and run, one line each.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	lines int
}

// OpenRecord opens the file of the record.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, begin: time.Now()}, nil
}

// Line writes a line with the milliseconds since the start of the case.
func (r *Record) Line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines++; r.lines <= maxLines {
		fmt.Fprintf(r.file, "%9.1f  %s\n", float64(time.Since(r.begin).Microseconds())/1000, fmt.Sprintf(format, a...))
	}
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, a ...any) {
	r.Line(format, a...)
	fmt.Printf(format+"\n", a...)
}

// Case runs a case. The arguments are the repository's root and the path of the record. TROUBLE=0 in the environment
// leaves the disruption out. Case ends the program with the status that run returns.
func Case(run func(root string, trouble bool, record *Record) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Println("usage: case ROOT RECORD")
		os.Exit(NotRun)
	}
	record, err := OpenRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	type result struct {
		status int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		status, err := run(os.Args[1], os.Getenv("TROUBLE") != "0", record)
		done <- result{status, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			record.Say("the case could not run: %v", r.err)
			os.Exit(NotRun)
		}
		os.Exit(r.status)
	case <-time.After(maxCase):
		record.Say("the case took longer than %v", maxCase)
		os.Exit(NotRun) // the gateways are killed with their parent
	}
}

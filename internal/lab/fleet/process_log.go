package fleet

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes is the longest line of a log that the rig interprets; longer ones are written in parts and otherwise ignored.
const maxLineBytes = 64 << 10

// loggedView is a gateway's view of the fleet by its own log.
type loggedView struct {
	live    map[string]bool
	settled bool
	digest  string
}

// apply changes the view by one line of the log of the gateway self.
func (v *loggedView) apply(self string, fields map[string]string) {
	switch fields["event"] {
	case "fleet_member":
		name := fields["name"]
		wasLive := v.live[name]
		switch fields["state"] {
		case "alive", "suspect":
			v.live[name] = true
		default:
			delete(v.live, name)
		}
		if wasLive != v.live[name] || fields["why"] == "restarted" {
			v.settled = false
		}
	case "fleet_process_paused":
		v.settled = false
	case "fleet_name_deferred":
		*v = loggedView{live: map[string]bool{self: true}}
	case "fleet_settled":
		v.settled = true
		v.digest = fields["digest"]
	}
}

// followLog copies the process's log to its file and interprets each line, until the log ends.
func (p *process) followLog(output io.Reader) {
	reader := bufio.NewReaderSize(output, maxLineBytes)
	for {
		line, isPart, err := reader.ReadLine()
		if err != nil {
			return
		}
		at := time.Now()
		p.log.Write(append(append([]byte(nil), line...), '\n'))
		if !isPart {
			p.handleLine(string(line), at)
		}
	}
}

func (p *process) handleLine(line string, at time.Time) {
	if strings.Contains(line, "DATA RACE") || strings.HasPrefix(line, "panic:") {
		p.recordFault(line)
	}
	if strings.Contains(line, " event=started ") {
		p.mu.Lock()
		p.ready = true
		p.mu.Unlock()
	}
	if !strings.Contains(line, "event=fleet_") && !strings.Contains(line, "event=policy_fault") {
		return
	}
	fields := logFields(line)
	if fields["event"] == "policy_fault" {
		p.recordFault("policy_fault")
	}
	p.mu.Lock()
	p.view.apply(p.name, fields)
	p.mu.Unlock()
	p.rig.handleLogEvent(p.name, fields, at)
}

// recordFault notes a line of the log that shows a fault of the program.
func (p *process) recordFault(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash = &CrashError{Gateway: p.name, LogLine: line}
}

// logFields decodes a line in logfmt; what cannot be decoded is left out.
func logFields(line string) map[string]string {
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	fields := map[string]string{}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return fields
}

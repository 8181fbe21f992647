package fleet

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes is the length of the longest log line that the rig interprets as a whole. A longer line is copied to the
// log file in parts, each on a line of its own, and only the last part is interpreted.
const maxLineBytes = 64 << 10

// loggedView is a gateway's view of the fleet according to the gateway's own log.
type loggedView struct {
	live    map[string]bool // names of live members
	settled bool            // the gateway has logged that it settled since the last change
	digest  string          // of the set of members that it last settled on
}

// apply updates the view by the fields of one line of the log of the gateway self.
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

// followLog copies the log of the process to the log file and interprets each line until the log ends.
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

// recordFault records a log line that shows a fault of the program as a crash.
func (p *process) recordFault(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash = &CrashError{Gateway: p.name, LogLine: line}
}

// logFields decodes a line in logfmt. It leaves out what follows the first syntax error.
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

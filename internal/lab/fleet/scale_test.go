package fleet

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	sizes     = flag.String("fleet.sizes", "12,50", "comma-separated sizes of the fleets on the virtual clock, in gateways")
	outputDir = flag.String("fleet.out", "", "directory to write measurements (JSON) and plots to; none are written if it is empty")
	runs      = flag.Int("fleet.runs", 1, "number of runs of each size")
)

// SizeReport holds the measurements of one fleet on the virtual clock. Times are in seconds. Traffic
// is the mean per gateway and second. Views agree once the live members of each view are the gateways
// that run on its side of the links.
type SizeReport struct {
	Gateways       int     `json:"gateways"`
	Run            int     `json:"run"`
	Ready          float64 `json:"ready_s"`                 // from the start until all gateways have settled
	Suspected      float64 `json:"crash_first_suspected_s"` // from the crash until gateway n1 no longer counts the member as alive
	Crash          float64 `json:"crash_agreed_s"`          // from the crash until the views agree
	CrashSettled   float64 `json:"crash_told_s"`            // from the crash until all gateways have settled
	RestartSettled float64 `json:"restart_told_s"`          // from the restart until all gateways have settled
	Split          float64 `json:"split_agreed_s"`          // from the split until the views agree
	Minority       float64 `json:"minority_known_s"`        // from the split until the whole smaller side reports a minority
	Heal           float64 `json:"heal_agreed_s"`           // from the heal until all gateways have settled
	LossFalse      int     `json:"loss_false_deaths"`       // with one datagram in five lost
	LossSeconds    float64 `json:"loss_s"`                  // length of the period with loss
	StormSettled   float64 `json:"storm_told_s"`            // from the join of a quarter more gateways until all settled
	RestPackets    float64 `json:"rest_packets_s"`
	RestBytes      float64 `json:"rest_bytes_s"`
	LossPackets    float64 `json:"loss_packets_s"`
	LossBytes      float64 `json:"loss_bytes_s"`
	MemberBytes    float64 `json:"member_bytes"` // heap bytes per member in the view of one gateway
}

// fleetSizes returns the sizes of -fleet.sizes.
func fleetSizes(t *testing.T) (counts []int) {
	t.Helper()
	for _, text := range strings.Split(*sizes, ",") {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		counts = append(counts, count)
	}
	return counts
}

// heapBytes collects garbage and returns the bytes of the remaining heap objects.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// sizeMeasurement is the state of one measurement on the virtual clock.
type sizeMeasurement struct {
	t      *testing.T
	fleet  *VirtualFleet
	size   int // number of gateways at the start
	report SizeReport
}

// measureSize measures a fleet at rest and in a crash, a restart, a split, datagram loss and a join storm.
func measureSize(t *testing.T, size, run int) (report SizeReport) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		heapBefore := heapBytes()
		m := &sizeMeasurement{t: t, size: size, fleet: NewVirtualFleet(size, uint64(run), DefaultSettings()), report: SizeReport{Gateways: size, Run: run}}
		defer m.fleet.Close()
		m.measureAtRest(heapBefore)
		m.measureCrash()
		m.measureSplit()
		m.measureLoss()
		m.measureStorm()
		report = m.report
	})
	return report
}

// waitForAgreement waits until the views agree or, with untilSettled, until all gateways have settled.
// It returns the seconds that it waited. A timeout is a test error. change names what happened before.
func (m *sizeMeasurement) waitForAgreement(change string, untilSettled bool, timeout time.Duration) float64 {
	m.t.Helper()
	took, ok := m.fleet.WaitForAgreement(untilSettled, timeout)
	if !ok {
		m.t.Errorf("%d gateways, %s: no agreement within %v", m.size, change, timeout)
	}
	return took.Seconds()
}

// start starts gateways and ends the test if one fails to start.
func (m *sizeMeasurement) start(names ...string) {
	m.t.Helper()
	if err := m.fleet.Start(names...); err != nil {
		m.t.Fatal(err)
	}
}

// trafficRate returns the mean traffic per gateway and second over the next span of time.
func (m *sizeMeasurement) trafficRate(span time.Duration) (packets, bytes float64) {
	packetsBefore, bytesBefore := m.fleet.Traffic()
	time.Sleep(span)
	packetsAfter, bytesAfter := m.fleet.Traffic()
	return (packetsAfter - packetsBefore) / span.Seconds(), (bytesAfter - bytesBefore) / span.Seconds()
}

// measureAtRest starts the fleet and, once it has settled, measures its traffic and heap.
func (m *sizeMeasurement) measureAtRest(heapBefore float64) {
	m.t.Helper()
	m.start(m.fleet.names...)
	m.report.Ready = m.waitForAgreement("ready", true, 2*time.Minute)
	time.Sleep(20 * time.Second)
	m.report.RestPackets, m.report.RestBytes = m.trafficRate(60 * time.Second)
	m.report.MemberBytes = (heapBytes() - heapBefore) / float64(m.size) / float64(m.size)
}

// measureCrash kills the last gateway, waits until all others have settled, and starts it again.
func (m *sizeMeasurement) measureCrash() {
	m.t.Helper()
	crashed := m.fleet.names[m.size-1]
	m.fleet.Kill(crashed)
	at := time.Now()
	for ; time.Since(at) < time.Minute; time.Sleep(viewInterval) {
		if state := m.fleet.Fleet(m.fleet.names[0]).State(); state.Alive < m.size {
			break
		}
	}
	m.report.Suspected = time.Since(at).Seconds()
	m.waitForAgreement("crash", false, 2*time.Minute)
	m.report.Crash = time.Since(at).Seconds()
	m.waitForAgreement("crash settled", true, 2*time.Minute)
	m.report.CrashSettled = time.Since(at).Seconds()
	<-m.fleet.byName[crashed].ended
	m.start(crashed)
	m.report.RestartSettled = m.waitForAgreement("restart", true, 2*time.Minute)
}

// measureSplit splits the fleet into two fifths and three fifths for at least a minute, then heals the split.
func (m *sizeMeasurement) measureSplit() {
	m.t.Helper()
	small, large := m.fleet.names[:m.size*2/5], m.fleet.names[m.size*2/5:]
	m.fleet.Links.Split([][]string{small, large})
	at := time.Now()
	for known := false; !known && time.Since(at) < 2*time.Minute; time.Sleep(viewInterval) {
		known = true
		for _, name := range small {
			known = known && m.fleet.Fleet(name).State().InMinority
		}
	}
	m.report.Minority = time.Since(at).Seconds()
	m.waitForAgreement("split", false, 3*time.Minute)
	m.report.Split = time.Since(at).Seconds()
	time.Sleep(max(0, 60*time.Second-time.Since(at)))
	m.fleet.Links.Heal()
	m.report.Heal = m.waitForAgreement("heal", true, 2*time.Minute)
}

// measureLoss measures the fleet for a minute in which one datagram in five is lost.
func (m *sizeMeasurement) measureLoss() {
	m.t.Helper()
	m.fleet.FalseDeaths = 0
	m.fleet.Links.Set(m.fleet.names, m.fleet.names, LinkFault{Loss: 0.2})
	m.report.LossSeconds = 60
	m.report.LossPackets, m.report.LossBytes = m.trafficRate(60 * time.Second)
	m.report.LossFalse = m.fleet.FalseDeaths
	m.fleet.Links.Heal()
	m.waitForAgreement("after loss", true, time.Minute)
}

// measureStorm makes a quarter more gateways join at once.
func (m *sizeMeasurement) measureStorm() {
	m.t.Helper()
	for i := range m.size / 4 {
		name := fmt.Sprintf("late%d", i)
		m.fleet.Add(name, "")
		m.fleet.byName[name].addr = fmt.Sprintf("10.200.%d.%d:7946", i>>8, i&255)
		m.fleet.names = append(m.fleet.names, name)
	}
	m.start(m.fleet.names[m.size:]...)
	m.report.StormSettled = m.waitForAgreement("storm", true, 2*time.Minute)
}

// TestLargerFleetsSettleAtEqualCostPerGateway guards against a cost per gateway that grows with the
// fleet. From the first size to the last, a gateway may send at most 1.3 times as many datagrams and 3
// times as many bytes. The time until a change is known may grow only with the logarithm of the size
// (SWIM); the timeouts of the single measurements bound it.
func TestLargerFleetsSettleAtEqualCostPerGateway(t *testing.T) {
	var all []SizeReport
	for _, size := range fleetSizes(t) {
		for run := range *runs {
			report := measureSize(t, size, run+1)
			text, err := json.Marshal(report)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(string(text))
			all = append(all, report)
		}
	}
	first, last := all[0], all[len(all)-1]
	if last.RestPackets > 1.3*first.RestPackets || last.RestBytes > 3*first.RestBytes {
		t.Errorf("traffic of a gateway at rest grows with the fleet: %.1f datagrams and %.0f bytes a second at %d gateways, %.1f and %.0f at %d", first.RestPackets,
			first.RestBytes, first.Gateways, last.RestPackets, last.RestBytes, last.Gateways)
	}
	if *outputDir != "" {
		if err := writeReports(all, *outputDir); err != nil {
			t.Fatal(err)
		}
	}
}

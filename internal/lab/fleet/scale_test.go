package fleet

import (
	"encoding/json"
	"flag"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var (
	sizes   = flag.String("fleet.sizes", "12,50", "sizes of the fleets on the virtual clock")
	reports = flag.String("fleet.out", "", "folder for figures (JSON) and plots")
	runs    = flag.Int("fleet.runs", 1, "runs of each size")
)

// SizeReport is what was measured at a size on the virtual clock. Times in seconds, traffic of one gateway.
type SizeReport struct {
	Gateways       int     `json:"gateways"`
	Run            int     `json:"run"`
	Ready          float64 `json:"ready_s"`
	Suspected      float64 `json:"crash_first_suspected_s"`
	Crash          float64 `json:"crash_agreed_s"`
	CrashSettled   float64 `json:"crash_told_s"`
	RestartSettled float64 `json:"restart_told_s"`
	Split          float64 `json:"split_agreed_s"`
	Minority       float64 `json:"minority_known_s"` // all of the smaller side knew
	Heal           float64 `json:"heal_agreed_s"`
	LossFalse      int     `json:"loss_false_deaths"`
	LossSeconds    float64 `json:"loss_s"`
	StormSettled   float64 `json:"storm_told_s"` // a quarter as many more come at once
	RestPackets    float64 `json:"rest_packets_s"`
	RestBytes      float64 `json:"rest_bytes_s"`
	LossPackets    float64 `json:"loss_packets_s"`
	LossBytes      float64 `json:"loss_bytes_s"`
	MemberBytes    float64 `json:"member_bytes"` // of heap, of one member in one gateway
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func measureSize(t *testing.T, n, run int) (out SizeReport) {
	synctest.Test(t, func(t *testing.T) {
		out = SizeReport{Gateways: n, Run: run}
		began := heapBytes()
		v := NewVirtualFleet(n, uint64(run), DefaultSettings())
		defer v.Close()
		if err := v.Start(v.names...); err != nil {
			t.Fatal(err)
		}
		wait := func(what string, told bool, most time.Duration) float64 {
			took, ok := v.WaitForAgreement(told, most)
			if !ok {
				t.Errorf("%d gateways: %s not done within %v", n, what, most)
			}
			return took.Seconds()
		}
		out.Ready = wait("ready", true, 2*time.Minute)
		rate := func(d time.Duration) (packets, bytes float64) {
			p, b, _ := v.Traffic()
			time.Sleep(d)
			q, c, _ := v.Traffic()
			return (q - p) / d.Seconds(), (c - b) / d.Seconds()
		}
		time.Sleep(20 * time.Second)
		out.RestPackets, out.RestBytes = rate(60 * time.Second)
		out.MemberBytes = (heapBytes() - began) / float64(n) / float64(n)

		v.Kill(v.names[n-1])
		at := time.Now()
		for ; time.Since(at) < time.Minute; time.Sleep(20 * time.Millisecond) {
			if s := v.Fleet(v.names[0]).State(); s.Alive < n {
				break
			}
		}
		out.Suspected = time.Since(at).Seconds()
		wait("crash", false, 2*time.Minute)
		out.Crash = time.Since(at).Seconds()
		wait("crash told", true, 2*time.Minute)
		out.CrashSettled = time.Since(at).Seconds()
		<-v.byName[v.names[n-1]].ended
		if err := v.Start(v.names[n-1]); err != nil {
			t.Fatal(err)
		}
		out.RestartSettled = wait("restart", true, 2*time.Minute)

		small, large := v.names[:n*2/5], v.names[n*2/5:]
		v.Links.Split([][]string{small, large})
		at = time.Now()
		for knows := false; !knows && time.Since(at) < 2*time.Minute; time.Sleep(20 * time.Millisecond) {
			knows = true
			for _, name := range small {
				knows = knows && v.Fleet(name).State().InMinority
			}
		}
		out.Minority = time.Since(at).Seconds()
		wait("split", false, 3*time.Minute)
		out.Split = time.Since(at).Seconds()
		time.Sleep(max(0, 60*time.Second-time.Since(at)))
		v.Links.Heal()
		out.Heal = wait("heal", true, 2*time.Minute)

		v.FalseDeaths = 0
		v.Links.Set(v.names, v.names, LinkFault{Loss: 0.2})
		out.LossSeconds = 60
		out.LossPackets, out.LossBytes = rate(60 * time.Second)
		out.LossFalse = v.FalseDeaths
		v.Links.Heal()
		wait("after loss", true, time.Minute)

		for i := range n / 4 {
			name := fmt.Sprintf("late%d", i)
			v.Add(name, "")
			v.byName[name].addr = fmt.Sprintf("10.200.%d.%d:7946", i>>8, i&255)
			v.names = append(v.names, name)
		}
		if err := v.Start(v.names[n:]...); err != nil {
			t.Fatal(err)
		}
		out.StormSettled = wait("storm", true, 2*time.Minute)
	})
	return out
}

// What a gateway spends must not grow with the fleet, and what it learns must come in a time that grows with its logarithm (SWIM).
func TestLargerFleetsSettleAtEqualCostPerGateway(t *testing.T) {
	var all []SizeReport
	for _, word := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		for run := range *runs {
			s := measureSize(t, n, run+1)
			text, _ := json.Marshal(s)
			t.Log(string(text))
			all = append(all, s)
		}
	}
	first, last := all[0], all[len(all)-1]
	if last.RestPackets > 1.3*first.RestPackets || last.RestBytes > 3*first.RestBytes {
		t.Errorf("traffic of a gateway at rest grows: %.1f datagrams and %.0f bytes a second at %d, %.1f and %.0f at %d", first.RestPackets,
			first.RestBytes, first.Gateways, last.RestPackets, last.RestBytes, last.Gateways)
	}
	if *reports != "" {
		if err := writeReports(all, *reports); err != nil {
			t.Fatal(err)
		}
	}
}

func writeReports(all []SizeReport, dir string) error {
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "sizes.json"), text, 0o644); err != nil {
		return err
	}
	// Expected: a failed probe ends its protocol period, and somebody's probe comes e/(e-1) periods after the crash (SWIM, 4.1); a
	// suspicion that others confirm lasts 4 max(1, log10 n) periods (Lifeguard, 4.2; memberlist's SuspicionMult).
	expected := func(n float64) float64 { return math.E/(math.E-1) + 1 + 4*math.Max(1, math.Log10(n)) }
	type series struct {
		name string
		of   func(SizeReport) float64
	}
	draw := func(file, title, y string, lines []series, ref func(float64) float64) error {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "gateways (logarithmic)", y
		p.X.Scale, p.X.Tick.Marker, p.Y.Min = plot.LogScale{}, plot.LogTicks{}, 0
		p.Legend.Top, p.Legend.Left = true, true
		colors := []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}, color.RGBA{R: 140, B: 140, A: 255}, color.RGBA{R: 220, G: 140, A: 255}}
		for i, s := range lines {
			pts := make(plotter.XYs, 0, len(all))
			for _, m := range all {
				pts = append(pts, plotter.XY{X: float64(m.Gateways), Y: s.of(m)})
			}
			line, dots, err := plotter.NewLinePoints(pts)
			if err != nil {
				return err
			}
			line.Color, dots.Color = colors[i%len(colors)], colors[i%len(colors)]
			p.Add(line, dots)
			p.Legend.Add(s.name, line)
		}
		if ref != nil {
			f := plotter.NewFunction(ref)
			f.Dashes, f.Color = []vg.Length{vg.Points(4), vg.Points(3)}, color.Gray{100}
			f.XMin, f.XMax = float64(all[0].Gateways), float64(all[len(all)-1].Gateways)
			p.Add(f)
			p.Legend.Add("expected of a crash (SWIM, Lifeguard)", f)
		}
		return p.Save(20*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, file))
	}
	if err := draw("settling.png", "Until all agree, virtual clock", "seconds", []series{{"crash", func(s SizeReport) float64 { return s.Crash }},
		{"split of 2 in 5", func(s SizeReport) float64 { return s.Split }}, {"healed", func(s SizeReport) float64 { return s.Heal }},
		{"a quarter more at once", func(s SizeReport) float64 { return s.StormSettled }}, {"smaller side knows", func(s SizeReport) float64 { return s.Minority }}}, expected); err != nil {
		return err
	}
	return draw("traffic.png", "Traffic of one gateway, virtual clock", "bytes a second", []series{{"at rest", func(s SizeReport) float64 { return s.RestBytes }},
		{"one datagram in five lost", func(s SizeReport) float64 { return s.LossBytes }}}, nil)
}

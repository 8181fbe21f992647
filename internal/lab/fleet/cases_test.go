package fleet

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The hard cases that TestLargerFleets does not have, on the virtual clock at each size of -fleet.sizes.
func TestFurtherHardCasesAtSize(t *testing.T) {
	for _, word := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) {
			v := NewVirtual(n, 1, Usual())
			defer v.End()
			if err := v.Start(v.all...); err != nil {
				t.Fatal(err)
			}
			settles(t, v, word+" ready", 2*time.Minute)
			again := func(names []string) {
				v.Kill(names...)
				for _, name := range names {
					<-v.by[name].ended
				}
				if err := v.Start(names...); err != nil {
					t.Fatal(err)
				}
			}
			again(v.all[n/2:])
			settles(t, v, word+" half restarting", 2*time.Minute)
			for range 5 {
				again(v.all[n-1:])
				time.Sleep(2 * time.Second)
			}
			settles(t, v, word+" flapping", 2*time.Minute)
			v.Links.Set(v.all[3:4], v.all[6:7], Fault{Cut: true})
			time.Sleep(30 * time.Second)
			settles(t, v, word+" one way", 2*time.Minute)
			v.Links.Heal()
			v.Links.Split([][]string{v.all[:n/3+1], append([]string{v.all[0]}, v.all[n/3+1:2*n/3]...), append([]string{v.all[0]}, v.all[2*n/3:]...)})
			time.Sleep(40 * time.Second)
			v.Links.Heal()
			settles(t, v, word+" bridge", 2*time.Minute)
		})
	}
}

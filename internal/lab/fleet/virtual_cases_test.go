package fleet

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The hard cases that TestLargerFleets does not have, on the virtual clock at each size of -fleet.sizes.
func TestOtherHardCasesAtSize(t *testing.T) {
	for _, word := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) {
			v := NewVirtualFleet(n, 1, DefaultSettings())
			defer v.Close()
			if err := v.Start(v.names...); err != nil {
				t.Fatal(err)
			}
			waitSettled(t, v, word+" ready", 2*time.Minute)
			again := func(names []string) {
				v.Kill(names...)
				for _, name := range names {
					<-v.byName[name].ended
				}
				if err := v.Start(names...); err != nil {
					t.Fatal(err)
				}
			}
			again(v.names[n/2:])
			waitSettled(t, v, word+" half restarting", 2*time.Minute)
			for range 5 {
				again(v.names[n-1:])
				time.Sleep(2 * time.Second)
			}
			waitSettled(t, v, word+" flapping", 2*time.Minute)
			v.Links.Set(v.names[3:4], v.names[6:7], LinkFault{Cut: true})
			time.Sleep(30 * time.Second)
			waitSettled(t, v, word+" one way", 2*time.Minute)
			v.Links.Heal()
			v.Links.Split([][]string{v.names[:n/3+1], append([]string{v.names[0]}, v.names[n/3+1:2*n/3]...), append([]string{v.names[0]}, v.names[2*n/3:]...)})
			time.Sleep(40 * time.Second)
			v.Links.Heal()
			waitSettled(t, v, word+" bridge", 2*time.Minute)
		})
	}
}

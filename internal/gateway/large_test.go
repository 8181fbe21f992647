package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// largeListSize is the number of caches and the number of gateways in the lists of TestLargeLists.
const largeListSize = 1100

// startManyCaches starts n caches. Each sends its id to reached
// for each request that it answers, unless reached is full.
func startManyCaches(t *testing.T, n int) (endpoints []standin.Endpoint, reached chan string) {
	t.Helper()
	reached = make(chan string, n)
	for i := range n {
		id := fmt.Sprintf("large-%d", i)
		cache := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) {
			select {
			case reached <- id:
			default:
			}
			request.Hit(time.Now(), "hit", "body")
		}))
		t.Cleanup(cache.Close)
		endpoints = append(endpoints, standin.Endpoint{ID: id, HostPort: cache.Addr, Locality: "town", Flavor: "edge", Phase: "up", Size: 1})
	}
	return endpoints, reached
}

// A gateway with lists of 1,100 caches and 1,100 gateways starts,
// uses caches from the whole list, and drains at SIGTERM.
func TestLargeLists(t *testing.T) {
	endpoints, reached := startManyCaches(t, largeListSize)
	var seeds []string
	for i := range largeListSize {
		seeds = append(seeds, fmt.Sprintf("127.254.%d.%d"+fleetPort, i/200, 1+i%200))
	}
	writeOperatorConfig(t, fmt.Sprintf("{ fleet: { listen: %q, expect: %d, folder: %q, seeds: %s } }", freeFleetAddr(), largeListSize,
		filepath.Join(t.TempDir(), "members"), must(json.Marshal(seeds))))
	t.Setenv("ROUTER_NAME", "n7")
	g := startGatewayWith(t, 4096, nil, nil, map[string]any{"known": knownEvents(endpoints)})
	caches := map[string]bool{}
	for i := range 200 {
		c := g.dial()
		io.WriteString(c, g.lookup("segment", fmt.Sprint("object-", i)))
		if response, body := c.response(t); response.StatusCode != 200 || body != "body" {
			t.Fatalf("lookup %d: status %d, body %q", i, response.StatusCode, body)
		}
		c.Close()
		caches[<-reached] = true
	}
	if len(caches) < 150 { // 200 objects on 1,100 caches reach about 183 caches
		t.Errorf("%d caches were reached, expected at least 150", len(caches))
	}
	last := g.dial()
	g.signal(syscall.SIGTERM)
	g.waitLogged("event=stopping")
	io.WriteString(last, g.lookup("segment", "last"))
	if response, _ := last.response(t); response.StatusCode != 200 {
		t.Errorf("lookup while the gateway drains: status %d, expected 200", response.StatusCode)
	}
	g.expectEnd(10 * time.Second)
	if conn, err := net.Dial("tcp", g.addr); err == nil {
		conn.Close()
		t.Error("connections are still accepted after the gateway's end")
	}
}

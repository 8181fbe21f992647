package admin

import (
	"bufio"
	"errors"
	"strings"
	"testing"
)

// TestRequestsForServicesThatAreOff checks that a request for a service that is off gets an error whose remedy names
// the setting that enables the service.
func TestRequestsForServicesThatAreOff(t *testing.T) {
	for _, command := range []string{CommandFleet, CommandLimits, CommandBroadcast, CommandHistory, CommandPropose, "other"} {
		t.Run(command, func(t *testing.T) {
			response := (&Server{}).Handle(Request{Command: command})
			if response.Error == "" || !strings.HasPrefix(response.Remedy, "set ") {
				t.Errorf("response %+v, want an error and a remedy that begins with \"set \"", response)
			}
		})
	}
}

func TestReadRequest(t *testing.T) {
	read := func(text string) (request Request, err error) {
		err = readRequest(bufio.NewReaderSize(strings.NewReader(text), 16), &request)
		return request, err
	}
	if request, err := read(`{"do":"text","no":7}` + "\n"); err != nil || request.Command != CommandText || request.Version != 7 {
		t.Errorf("request %+v, error %v", request, err)
	}
	if _, err := read("not JSON\n"); err == nil || !strings.HasPrefix(err.Error(), "cannot decode the request: ") {
		t.Error(err)
	}
	if _, err := read(strings.Repeat("x", maxLineBytes+1)); !errors.Is(err, errRequestTooLong) {
		t.Error(err)
	}
	if _, err := read(""); !errors.Is(err, errConnectionEnded) {
		t.Error(err)
	}
}

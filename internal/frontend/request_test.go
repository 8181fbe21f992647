package frontend

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"foldslip/internal/upstream"
)

const completeRequest = "GET /call/segment/7f3a/part-3 HTTP/1.1\r\nhOsT : x\r\nHost:\tbackend.local \r\n" +
	"x-job-id:9b1f03aa5c7e2d41\r\nX-ALLOW-MS: 1500\r\nX-Group: 17\r\nX-Ram-Kb: 412.5\r\nIf-None-Match: \"4be0\"\r\n\r\n"

func TestRequestsWithoutBody(t *testing.T) {
	good := strings.Replace(completeRequest, "hOsT : x\r\n", "", 1)
	r, n, err := parseRequest([]byte(good + "GET"))
	if want := (Request{Request: upstream.Request{Kind: "segment", Object: "7f3a", Part: 3, Group: 17, ID: "9b1f03aa5c7e2d41",
		ETag: "4be0"}, Method: "GET", SizeKB: 412.5, TimeAllowed: 1500 * time.Millisecond}); err != nil || n != len(good) || !reflect.DeepEqual(r, want) {
		t.Errorf("got request %+v, head length %d, error %v", r, n, err)
	}
	for i := range good {
		if _, _, err := parseRequest([]byte(good[:i])); !errors.Is(err, errIncomplete) {
			t.Fatalf("head cut at byte %d: got error %v, expected errIncomplete", i, err)
		}
	}
	for name, text := range map[string]string{
		"a space before the colon":      completeRequest,
		"a folded field":                strings.Replace(good, "x-job-id", " x-job-id", 1),
		"no Host":                       strings.Replace(good, "Host", "Most", 1),
		"an id twice":                   strings.Replace(good, "X-Group: 17", "X-Job-Id: 9b1f03aa5c7e2d41", 1),
		"a body with GET":               strings.Replace(good, "X-Group: 17", "Content-Length: 3", 1),
		"a chunked body":                strings.Replace(good, "X-Group: 17", "Transfer-Encoding: chunked", 1),
		"a negative size":               strings.Replace(good, "412.5", "-1", 1),
		"a time allowed past the bound": strings.Replace(good, "1500", "1e99", 1),
		"a name with a line break":      strings.Replace(good, "7f3a", "7f%0d%0a3a", 1),
		"a name with a comma":           strings.Replace(good, "7f3a", "7f,from=x", 1),
		"two spaces":                    strings.Replace(good, " HTTP", "  HTTP", 1),
		"a part out of range":           strings.Replace(good, "part-3", "part-99999999999", 1),
	} {
		var invalid *RequestError
		if _, _, err := parseRequest([]byte(text)); !errors.As(err, &invalid) || invalid.Status/100 != 4 {
			t.Errorf("%s: got error %v, expected a RequestError with a status of 4xx", name, err)
		}
	}
}

func TestRequestsWithBody(t *testing.T) {
	put := strings.NewReplacer("hOsT : x\r\n", "", "GET", "PUT", "X-Group: 17", "Content-Length: 240000").Replace(completeRequest)
	if r, n, err := parseRequest([]byte(put + "bytes")); err != nil || n != len(put) || r.BodyLength != 240000 || r.Method != "PUT" {
		t.Errorf("got request %+v, head length %d, error %v", r, n, err)
	}
	if r, _, err := parseRequest([]byte(strings.Replace(put, "Content", "X-Unique: bcedd3\r\nContent", 1))); err != nil || r.IdempotencyKey != "bcedd3" {
		t.Errorf("got request %+v, error %v", r, err)
	}
	for name, text := range map[string]string{
		"an idempotency key that is not a name": strings.Replace(put, "Content", "X-Unique: a,from=x\r\nContent", 1),
		"two idempotency keys":                  strings.Replace(put, "Content", "X-Unique: a\r\nX-Unique: a\r\nContent", 1),
		"a length past the bound":               strings.Replace(put, "240000", "240001", 1),
		"a length out of range":                 strings.Replace(put, "240000", "99999999999999999999", 1),
		"a negative length":                     strings.Replace(put, "240000", "-1", 1),
		"a length with a sign":                  strings.Replace(put, "240000", "+1", 1),
		"a chunked body":                        strings.Replace(put, "Content-Length: 240000", "Transfer-Encoding: chunked", 1),
		"a chunked body with a length":          strings.Replace(put, "240000", "3\r\nTransfer-Encoding: chunked", 1),
		"two lengths":                           strings.Replace(put, "240000", "3\r\nContent-Length: 3", 1),
		"a body with GET":                       strings.Replace(put, "PUT", "GET", 1),
		"a body with POST":                      strings.Replace(put, "PUT", "POST", 1),
	} {
		var invalid *RequestError
		if _, _, err := parseRequest([]byte(text)); !errors.As(err, &invalid) || invalid.Status != 400 {
			t.Errorf("%s: got error %v, expected a RequestError with status 400", name, err)
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte(completeRequest))
	f.Add([]byte(strings.Replace(completeRequest, "X-Group", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\nX-Group", 1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, n, err := parseRequest(b); err == nil && (n <= 0 || n > len(b) || !r.IsPing && !upstream.IsName(r.Object)) {
			t.Errorf("got request %+v, head length %d of %d bytes", r, n, len(b))
		}
	})
}

package client

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// headerPrefix is the prefix of the protocol's header names. Only this file maps header names to the names of this
// package.
const headerPrefix = "x-foldslip-"

// headerList builds the headers of a message.
type headerList struct{ headers []*corev3.HeaderValue }

func (l *headerList) add(name string, value []byte) {
	l.headers = append(l.headers, &corev3.HeaderValue{Key: name, RawValue: value})
}

func (l *headerList) message() *extprocv3.HttpHeaders {
	return &extprocv3.HttpHeaders{Headers: &corev3.HeaderMap{Headers: l.headers}, EndOfStream: true}
}

// requestHeaders encodes a request: first the pseudo-headers, then the headers sorted by name.
func requestHeaders(request Request) *extprocv3.HttpHeaders {
	method := request.Method
	if method == "" {
		method = http.MethodGet
	}
	var list headerList
	list.add(":method", []byte(method))
	list.add(":path", []byte(request.Path))
	names := make([]string, 0, len(request.Header))
	for name := range request.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range request.Header[name] {
			list.add(strings.ToLower(name), []byte(value))
		}
	}
	return list.message()
}

// reportHeaders encodes the report of an attempt's outcome.
func reportHeaders(outcome AttemptOutcome) *extprocv3.HttpHeaders {
	word := outcome.Word
	if word == "" {
		word = WordFault
	}
	var list headerList
	for _, field := range []struct{ name, value string }{{"end", word}, {"note", outcome.Note}, {"ver", outcome.ETag}} {
		if field.value != "" {
			list.add(headerPrefix+field.name, []byte(field.value))
		}
	}
	if outcome.SourceWait > 0 {
		milliseconds := float64(outcome.SourceWait.Microseconds()) / 1000
		list.add(headerPrefix+"waited-ms", strconv.AppendFloat(nil, milliseconds, 'f', 3, 64))
	}
	if !outcome.CreatedAt.IsZero() {
		list.add(headerPrefix+"born", strconv.AppendInt(nil, outcome.CreatedAt.UnixMilli(), 10))
	}
	return list.message()
}

// parseDecision decodes a decision from the header mutation of a response.
func parseDecision(response *extprocv3.ProcessingResponse) (Decision, error) {
	mutation := response.GetRequestHeaders().GetResponse().GetHeaderMutation()
	var decision Decision
	var numbers numberParser
	for _, option := range mutation.GetSetHeaders() {
		value := string(option.GetHeader().GetRawValue())
		switch strings.TrimPrefix(option.GetHeader().GetKey(), headerPrefix) {
		case "cache":
			decision.Cache = value
		case "addr":
			decision.Addr = value
		case "send":
			decision.Attempt = int(numbers.parse(value))
		case "source":
			decision.Source = value
		case "rank":
			decision.Rank = int(numbers.parse(value))
		case "oldest-ms":
			decision.MaxAge = numbers.parseMilliseconds(value)
		case "mode":
			decision.Mode = value
		case "route":
			decision.Route = value
		case "version":
			decision.Version = uint64(numbers.parse(value))
		case "wait-ms":
			decision.Timeout = numbers.parseMilliseconds(value)
		}
	}
	if numbers.err != nil {
		return decision, numbers.err
	}
	if decision.Cache == "" || decision.Timeout <= 0 {
		return decision, &ProtocolError{Detail: fmt.Sprintf("decision with cache %q and timeout %v, expected both to be set",
			decision.Cache, decision.Timeout)}
	}
	return decision, nil
}

// numberParser parses numbers and keeps the first error.
type numberParser struct{ err error }

func (p *numberParser) parse(value string) float64 {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil && p.err == nil {
		p.err = &ProtocolError{Detail: fmt.Sprintf("header value %q, expected a number", value)}
	}
	return number
}

func (p *numberParser) parseMilliseconds(value string) time.Duration {
	return time.Duration(p.parse(value) * float64(time.Millisecond))
}

// readImmediate decodes an immediate response. It returns true if the gateway requests another stream; otherwise the
// lookup has ended.
func (r *Result) readImmediate(response *extprocv3.ImmediateResponse) (again bool) {
	r.Status = int(response.GetStatus().GetCode())
	r.Text = strings.TrimSpace(string(response.Body))
	for _, option := range response.GetHeaders().GetSetHeaders() {
		value := string(option.GetHeader().GetRawValue())
		switch option.GetHeader().GetKey() {
		case headerPrefix + "again":
			*r = Result{Attempts: r.Attempts}
			return true
		case "x-wait-ms":
			milliseconds, _ := strconv.ParseInt(value, 10, 64) // an invalid value means no delay
			r.RetryAfter = time.Duration(milliseconds) * time.Millisecond
		}
	}
	switch r.Status {
	case http.StatusServiceUnavailable:
		r.Kind = Rejected
	case http.StatusBadGateway:
		r.Kind = Failed
	default:
		r.Kind = Refused
	}
	return false
}

package frontend

// Strings of the protocol with clients. Request header fields are compared in lower case, because HTTP ignores the case
// of their names. Response header fields are written as defined here.
const (
	headerHost             = "host"
	headerConnection       = "connection"
	headerContentLength    = "content-length"
	headerTransferEncoding = "transfer-encoding"
	headerIfNoneMatch      = "if-none-match"
	headerID               = "x-job-id"
	headerTimeAllowed      = "x-allow-ms"
	headerGroup            = "x-group"
	headerSize             = "x-ram-kb"
	headerIdempotencyKey   = "x-unique"

	responseRetryAfter  = "X-Wait-Ms: "
	responseETag        = "ETag: "
	responseContentType = "Content-Type: text/plain\r\n"
	responseAllow       = "Allow: GET\r\n"
	responseClose       = "Connection: close\r\n"

	methodGet = "GET"
	methodPut = "PUT"

	pathPing       = "/ping"
	pathLookup     = "call"
	pathPartPrefix = "part-"
)

const (
	statusOK                 = 200
	statusNotModified        = 304
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusConflict           = 409
	statusHeadTooLarge       = 431
	statusBadGateway         = 502 // the lookup failed and may have had an effect
	statusServiceUnavailable = 503 // the lookup had no effect; the client may retry
	statusVersionUnsupported = 505
)

var statusText = map[int]string{
	statusOK:                 "OK",
	statusNotModified:        "Not Modified",
	statusBadRequest:         "Bad Request",
	statusNotFound:           "Not Found",
	statusMethodNotAllowed:   "Method Not Allowed",
	statusConflict:           "Conflict",
	statusHeadTooLarge:       "Request Header Fields Too Large",
	statusBadGateway:         "Bad Gateway",
	statusServiceUnavailable: "Service Unavailable",
	statusVersionUnsupported: "HTTP Version Not Supported",
}

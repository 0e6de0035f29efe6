// Package httpx is the project's own HTTP/1.1: a parser (ParseRequest, ParseResponse), a server on gnet with
// a goroutine for each connection (Server), and a client that keeps connections open (Client). The parser is
// without I/O: it is given bytes, and says how many of them it took.
//
// Invariants: a server holds no more than its budget of bytes of requests that are not answered, and no more
// connections than its limit; after an error of the parser the framing is lost and the connection ends.
package httpx

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"
)

const (
	// maxHead is the limit of a message's head, and of a chunked body's trailers, in bytes.
	maxHead = 16 << 10
	// maxChunkLine is the limit of the line that begins a chunk, in bytes.
	maxChunkLine = 256
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Errors of the parser. After any of them the framing is lost.
var (
	ErrMalformed  = errors.New("malformed HTTP message")
	ErrTooLarge   = errors.New("HTTP message too large")
	errIncomplete = errors.New("more bytes needed")
)

// Request is one parsed request.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool
}

// Response is one response, to be written or parsed.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds, 0: none
	Close      bool
}

// JSON makes a response with v as its body, 503 if v can't be encoded.
func JSON(status int, v any) Response {
	b, err := json.Marshal(v)
	if err != nil {
		return Response{Status: 503, Body: []byte(`{"error":"no answer"}`), RetryAfter: 1}
	}
	return Response{Status: status, Body: b}
}

// messageHead is what counts of a start line and headers.
type messageHead struct {
	startLine     string
	contentLength int
	chunked       bool
	close         bool
	retryAfter    int
	bytes         int
}

// parseHead reads the start line and the headers of the message in b.
func parseHead(b []byte) (messageHead, error) {
	h := messageHead{contentLength: -1}
	end := bytes.Index(b, headEnd)
	if end < 0 {
		if len(b) > maxHead {
			return h, ErrTooLarge
		}
		return h, errIncomplete
	}
	if end > maxHead {
		return h, ErrTooLarge
	}
	h.bytes = end + len(headEnd)
	text := string(b[:end])
	line, rest, _ := strings.Cut(text, "\r\n")
	h.startLine = line
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := h.parseHeader(line); err != nil {
			return h, err
		}
	}
	if h.chunked && h.contentLength >= 0 {
		return h, fmt.Errorf("%w: two framings", ErrMalformed)
	}
	return h, nil
}

// parseHeader reads one header line; only those that matter for framing and retries are kept.
func (h *messageHead) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("%w: header line", ErrMalformed)
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "content-length"):
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || (h.contentLength >= 0 && h.contentLength != int(n)) || value[0] == '+' {
			return fmt.Errorf("%w: content-length", ErrMalformed)
		}
		h.contentLength = int(n)
	case strings.EqualFold(name, "transfer-encoding"):
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: transfer-encoding", ErrMalformed)
		}
		h.chunked = true
	case strings.EqualFold(name, "connection"):
		if strings.EqualFold(value, "close") {
			h.close = true
		}
	case strings.EqualFold(name, "retry-after"):
		h.retryAfter, _ = strconv.Atoi(value)
	}
	return nil
}

// parseChunks reads a chunked body from b; used is how many bytes it took.
func parseChunks(b []byte, maxBody int) (body []byte, used int, err error) {
	for {
		size, lineBytes, err := parseChunkSize(b[used:])
		if err != nil {
			return nil, 0, err
		}
		used += lineBytes
		if len(body)+size > maxBody {
			return nil, 0, ErrTooLarge
		}
		if size == 0 {
			trailerBytes, err := skipTrailers(b[used:])
			if err != nil {
				return nil, 0, err
			}
			return body, used + trailerBytes, nil
		}
		if len(b) < used+size+len(lineEnd) {
			return nil, 0, errIncomplete
		}
		body = append(body, b[used:used+size]...)
		used += size
		if b[used] != '\r' || b[used+1] != '\n' {
			return nil, 0, fmt.Errorf("%w: chunk end", ErrMalformed)
		}
		used += len(lineEnd)
	}
}

// parseChunkSize reads the line that begins a chunk; used is how many bytes it took.
func parseChunkSize(b []byte) (size, used int, err error) {
	end := bytes.Index(b, lineEnd)
	if end < 0 {
		if len(b) > maxChunkLine {
			return 0, 0, ErrMalformed
		}
		return 0, 0, errIncomplete
	}
	text, _, _ := strings.Cut(string(b[:end]), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
	if err != nil {
		return 0, 0, fmt.Errorf("%w: chunk size", ErrMalformed)
	}
	return int(n), end + len(lineEnd), nil
}

// skipTrailers reads the trailers after the last chunk, to the empty line that ends them.
func skipTrailers(b []byte) (used int, err error) {
	for {
		end := bytes.Index(b[used:], lineEnd)
		if end < 0 {
			if len(b)-used > maxHead {
				return 0, ErrTooLarge
			}
			return 0, errIncomplete
		}
		used += end + len(lineEnd)
		if end == 0 {
			return used, nil
		}
	}
}

// parseBody reads the body that follows a head; used is how many bytes the whole message took.
func parseBody(h messageHead, b []byte, maxBody int) (body []byte, used int, err error) {
	if h.chunked {
		body, used, err = parseChunks(b[h.bytes:], maxBody)
		return body, used + h.bytes, err
	}
	if h.contentLength > maxBody {
		return nil, 0, ErrTooLarge
	}
	n := max(h.contentLength, 0)
	if len(b) < h.bytes+n {
		return nil, 0, errIncomplete
	}
	return bytes.Clone(b[h.bytes : h.bytes+n]), h.bytes + n, nil
}

// ParseRequest reads one request from b. It returns errMore as (nil, 0, nil)
// while the request is not complete.
func ParseRequest(b []byte, limit int) (*Request, int, error) {
	h, err := parseHead(b)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	method, rest, ok := strings.Cut(h.startLine, " ")
	target, proto, hasProto := strings.Cut(rest, " ")
	if !ok || !hasProto || method == "" || !strings.HasPrefix(target, "/") ||
		(proto != "HTTP/1.1" && proto != "HTTP/1.0") {
		return nil, 0, fmt.Errorf("%w: request line", ErrMalformed)
	}
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return nil, 0, fmt.Errorf("%w: method", ErrMalformed)
		}
	}
	body, used, err := parseBody(h, b, limit)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	path, query, _ := strings.Cut(target, "?")
	request := &Request{Method: method, Path: path, Query: query, Body: body, Close: h.close || proto == "HTTP/1.0"}
	return request, used, nil
}

// responseSize is how many bytes the response takes that begins with b; 0 while, or when, its head doesn't
// say.
func responseSize(b []byte) int {
	h, err := parseHead(b)
	if err != nil || h.contentLength < 0 || h.chunked {
		return 0
	}
	return h.bytes + h.contentLength
}

// ParseResponse reads one response, with a body of limit bytes at most, from b, and returns how many bytes it
// took; (nil, 0, nil) while it is not complete.
func ParseResponse(b []byte, limit int) (*Response, int, error) {
	h, err := parseHead(b)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	proto, rest, _ := strings.Cut(h.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 200 || status > 599 {
		return nil, 0, fmt.Errorf("%w: status line", ErrMalformed)
	}
	if h.contentLength < 0 && !h.chunked && status != 204 && status != 304 {
		return nil, 0, fmt.Errorf("%w: no length", ErrMalformed)
	}
	body, used, err := parseBody(h, b, limit)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return &Response{Status: status, Body: body, RetryAfter: h.retryAfter, Close: h.close}, used, nil
}

// reasonPhrases are those of the statuses that the service answers.
var reasonPhrases = map[int]string{
	200: "OK",
	201: "Created",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large",
	421: "Misdirected Request",
	422: "Unprocessable Content",
	429: "Too Many Requests",
	503: "Service Unavailable",
}

// AppendResponse appends r to b as it goes over the connection.
func AppendResponse(b []byte, r Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.Status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	if r.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(r.RetryAfter), 10)
	}
	if r.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}

// AppendRequest appends a request to b as it goes over the connection.
func AppendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if body != nil {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

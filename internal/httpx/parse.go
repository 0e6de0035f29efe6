// Package httpx implements the parts of HTTP/1.1 that merlinlatch needs: a parser (ParseRequest,
// ParseResponse), a server on gnet with a goroutine for each connection (Server), and a client that keeps
// connections open (Client). The parser does no I/O: it gets bytes and returns how many of them the message took.
//
// Invariants:
//   - A server holds at most its limit of connections, and at most its budget of bytes of unanswered requests.
//   - After an error of the parser the beginning of the next message is unknown, so the connection is closed.
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
	// maxHead is the maximum size of a message's head, and of each trailer of a chunked body, in bytes.
	maxHead = 16 << 10
	// maxChunkLine is the maximum size of the line that gives a chunk's size, in bytes.
	maxChunkLine = 256
)

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Errors of the parser. After ErrMalformed or ErrTooLarge the connection can't be used any more. errIncomplete means
// that the message has not arrived completely; it never leaves the package.
var (
	ErrMalformed  = errors.New("malformed HTTP message")
	ErrTooLarge   = errors.New("HTTP message too large")
	errIncomplete = errors.New("HTTP message is incomplete")
)

// Request is a parsed request.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool // the connection is to be closed after the response
}

// Response is a response, either parsed or to be written.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int  // value of the Retry-After header in seconds; 0: no such header
	Close      bool // the connection is closed after the response
	PlainText  bool // the body is plain text rather than JSON
}

// JSON returns a response with v, encoded as JSON, as its body. If v can't be encoded, the response is a 503.
func JSON(status int, v any) Response {
	b, err := json.Marshal(v)
	if err != nil {
		return Response{Status: 503, Body: []byte(`{"error":"no answer"}`), RetryAfter: 1}
	}
	return Response{Status: status, Body: b}
}

// messageHead has the start line of a message and those headers that the package evaluates.
type messageHead struct {
	startLine     string
	contentLength int  // -1 if the message has no Content-Length header
	chunked       bool // the body has chunked transfer encoding
	close         bool // the sender asks for the connection to be closed
	retryAfter    int  // seconds; 0 if there is no valid header
	bytes         int  // size of the head, including the empty line at its end
}

// parseHead parses the start line and the headers of the message at the beginning of b. It returns errIncomplete if b
// does not contain the whole head.
func parseHead(b []byte) (messageHead, error) {
	head := messageHead{contentLength: -1}
	end := bytes.Index(b, headEnd)
	if end < 0 {
		if len(b) > maxHead {
			return head, ErrTooLarge
		}
		return head, errIncomplete
	}
	if end > maxHead {
		return head, ErrTooLarge
	}
	head.bytes = end + len(headEnd)
	text := string(b[:end])
	line, rest, _ := strings.Cut(text, "\r\n")
	head.startLine = line
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := head.parseHeader(line); err != nil {
			return head, err
		}
	}
	if head.chunked && head.contentLength >= 0 {
		return head, fmt.Errorf("%w: both content-length and transfer-encoding", ErrMalformed)
	}
	return head, nil
}

// parseHeader parses one header line. It keeps only the headers that determine the message's length, the closing of
// the connection and the time of a retry.
func (h *messageHead) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("%w: invalid header line", ErrMalformed)
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "content-length"):
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || (h.contentLength >= 0 && h.contentLength != int(n)) || value[0] == '+' {
			return fmt.Errorf("%w: invalid content-length", ErrMalformed)
		}
		h.contentLength = int(n)
	case strings.EqualFold(name, "transfer-encoding"):
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: unsupported transfer-encoding", ErrMalformed)
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

// parseChunks parses a chunked body at the beginning of b; used is the number of bytes that it took, with trailers.
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
			return nil, 0, fmt.Errorf("%w: chunk not followed by CRLF", ErrMalformed)
		}
		used += len(lineEnd)
	}
}

// parseChunkSize parses the line that gives a chunk's size; used is the number of bytes in that line.
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
		return 0, 0, fmt.Errorf("%w: invalid chunk size", ErrMalformed)
	}
	return int(n), end + len(lineEnd), nil
}

// skipTrailers returns the number of bytes in the trailers after the last chunk, including the empty line that ends
// them.
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

// parseBody parses the body of the message in b after its head; used is the number of bytes in the whole message.
func parseBody(head messageHead, b []byte, maxBody int) (body []byte, used int, err error) {
	if head.chunked {
		body, used, err = parseChunks(b[head.bytes:], maxBody)
		return body, used + head.bytes, err
	}
	if head.contentLength > maxBody {
		return nil, 0, ErrTooLarge
	}
	n := max(head.contentLength, 0)
	if len(b) < head.bytes+n {
		return nil, 0, errIncomplete
	}
	return bytes.Clone(b[head.bytes : head.bytes+n]), head.bytes + n, nil
}

// ParseRequest parses the request at the beginning of b, with a body of at most limit bytes, and returns the number of
// bytes that it took. It returns (nil, 0, nil) while the request is incomplete.
func ParseRequest(b []byte, limit int) (*Request, int, error) {
	head, err := parseHead(b)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	method, rest, ok := strings.Cut(head.startLine, " ")
	target, proto, hasProto := strings.Cut(rest, " ")
	if !ok || !hasProto || method == "" || !strings.HasPrefix(target, "/") ||
		(proto != "HTTP/1.1" && proto != "HTTP/1.0") {
		return nil, 0, fmt.Errorf("%w: invalid request line", ErrMalformed)
	}
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return nil, 0, fmt.Errorf("%w: invalid method", ErrMalformed)
		}
	}
	body, used, err := parseBody(head, b, limit)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	path, query, _ := strings.Cut(target, "?")
	request := &Request{Method: method, Path: path, Query: query, Body: body, Close: head.close || proto == "HTTP/1.0"}
	return request, used, nil
}

// responseSize returns the total size in bytes of the response that begins with b. It returns 0 if the head is
// incomplete or invalid, or has no Content-Length header.
func responseSize(b []byte) int {
	head, err := parseHead(b)
	if err != nil || head.contentLength < 0 || head.chunked {
		return 0
	}
	return head.bytes + head.contentLength
}

// ParseResponse parses the response at the beginning of b, with a body of at most limit bytes, and returns the number
// of bytes that it took. It returns (nil, 0, nil) while the response is incomplete.
func ParseResponse(b []byte, limit int) (*Response, int, error) {
	head, err := parseHead(b)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	proto, rest, _ := strings.Cut(head.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 200 || status > 599 {
		return nil, 0, fmt.Errorf("%w: invalid status line", ErrMalformed)
	}
	if head.contentLength < 0 && !head.chunked && status != 204 && status != 304 {
		return nil, 0, fmt.Errorf("%w: response without content-length or chunked encoding", ErrMalformed)
	}
	body, used, err := parseBody(head, b, limit)
	if errors.Is(err, errIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return &Response{Status: status, Body: body, RetryAfter: head.retryAfter, Close: head.close}, used, nil
}

// reasonPhrases has the reason phrases of the statuses that merlinlatch sends.
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

// AppendResponse appends the encoded response r to b.
func AppendResponse(b []byte, r Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.Status]...)
	if r.PlainText {
		b = append(b, "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "...)
	} else {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	}
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

// AppendRequest appends an encoded request to b. A nil body is sent as no body.
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

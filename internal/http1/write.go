package http1

import (
	"net/http"
	"strconv"
)

// statusTexts holds the reason phrases of RFC 9110; those of package http are older.
var statusTexts = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusNotModified:                 "Not Modified",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusConflict:                    "Conflict",
	http.StatusLengthRequired:              "Length Required",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusBadGateway:                  "Bad Gateway",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusGatewayTimeout:              "Gateway Timeout",
	http.StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}

// AppendResponse appends the head of a response with a body of length bytes. A
// response with status 304 has no body. With closeConnection the head announces that
// the connection is closed after the response.
func AppendResponse(b []byte, status, length int, closeConnection bool, fields ...Field) []byte {
	b = append(b, version11+" "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, statusTexts[status]...)
	b = append(b, "\r\n"...)
	if status != http.StatusNotModified {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	if closeConnection {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(appendFields(b, fields), "\r\n"...)
}

// AppendRequest appends a request without a body.
func AppendRequest(b []byte, method, target string, fields ...Field) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " "+version11+"\r\n"...)
	return append(appendFields(b, fields), "\r\n"...)
}

func appendFields(b []byte, fields []Field) []byte {
	for _, field := range fields {
		b = append(b, field.Name...)
		b = append(b, ": "...)
		b = append(b, field.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

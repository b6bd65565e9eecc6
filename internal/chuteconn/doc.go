// Package chuteconn exchanges HTTP/1.1 requests and responses with upstreams over pooled
// connections, and reports for each failure whether the upstream can have seen the request.
//
// It replaces the client of net/http because that client resends some requests by itself,
// accepts any response that comes first on a connection, and does not report whether a byte
// was sent. Messages are still written and parsed by net/http.
//
// # Matching of responses
//
// An unsolicited response, or one that arrives late after its request was cancelled, precedes
// the response to the next request. The caller therefore checks whether each response belongs
// to its request. A mismatched response is dropped, the next one is read, and the connection is
// not reused. A connection with unread bytes is never reused either.
package chuteconn

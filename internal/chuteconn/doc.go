// Package chuteconn exchanges HTTP/1.1 requests and responses with upstreams
// over connections that it keeps, and says of each failure whether the upstream
// can have seen the request.
//
// net/http's own client would do but for three things that callers depend on
// here. It sends some requests again by itself, it hands out whatever response
// comes first on a connection, and it does not tell whether a byte went out.
// Messages are written and parsed by net/http all the same.
//
// # Whose response
//
// A response that arrived unasked, or late after its request was given up, stands
// in front of the next one. Each response is asked whether it is the request's
// own; a foreign one is dropped, the next one read, and the connection is not
// used again. A connection with unread bytes is never used again either.
package chuteconn

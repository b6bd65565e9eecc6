package chutegate

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFingerprint(t *testing.T) {
	fingerprintWith := func(change func(in *IncomingRequest)) string {
		in := &IncomingRequest{ID: "1", Host: "h", Method: "POST", URI: "/a/b?c=1", Body: []byte("text")}
		change(in)

		return requestFingerprint("team", in)
	}
	original := fingerprintWith(func(*IncomingRequest) {})

	t.Run("the same request sent again has the same fingerprint", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(fingerprintWith(func(in *IncomingRequest) { in.ID = "2" }), qt.Equals, original)
		c.Assert(original, qt.HasLen, 2*fingerprintBytes)
	})

	t.Run("each change of what an upstream runs changes the fingerprint", func(t *testing.T) {
		c := qt.New(t)
		for _, change := range []func(in *IncomingRequest){
			func(in *IncomingRequest) { in.Host = "g" },
			func(in *IncomingRequest) { in.Method = "PUT" },
			func(in *IncomingRequest) { in.URI = "/a/b?c=2" },
			func(in *IncomingRequest) { in.Body = []byte("text2") },
			func(in *IncomingRequest) { in.Host, in.Method = "hP", "OST" },
			func(in *IncomingRequest) { in.URI, in.Body = "/a/b?c=1t", []byte("ext") },
		} {
			c.Assert(fingerprintWith(change), qt.Not(qt.Equals), original)
		}
	})

	t.Run("another workspace has another fingerprint", func(t *testing.T) {
		c := qt.New(t)
		in := &IncomingRequest{Host: "h", Method: "POST", URI: "/a/b?c=1", Body: []byte("text")}
		c.Assert(requestFingerprint("other", in), qt.Not(qt.Equals), requestFingerprint("team", in))
	})
}

func BenchmarkFingerprint(b *testing.B) {
	in := &IncomingRequest{Host: "host.example", Method: "POST", URI: "/a/b", Body: make([]byte, 1<<20)}
	b.SetBytes(1 << 20)
	for b.Loop() {
		_ = requestFingerprint("team", in)
	}
}

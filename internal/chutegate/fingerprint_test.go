package chutegate

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFingerprint(t *testing.T) {
	sending := func(change func(in *Incoming)) string {
		in := &Incoming{ID: "1", Host: "h", Method: "POST", URI: "/a/b?c=1", Body: []byte("text")}
		change(in)

		return fingerprint("team", in)
	}
	same := sending(func(*Incoming) {})

	t.Run("another sending of the same request has the same", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(sending(func(in *Incoming) { in.ID = "2" }), qt.Equals, same)
		c.Assert(same, qt.HasLen, 2*fingerprintBytes)
	})

	t.Run("whatever an upstream would run otherwise has another", func(t *testing.T) {
		c := qt.New(t)
		for _, change := range []func(in *Incoming){
			func(in *Incoming) { in.Host = "g" },
			func(in *Incoming) { in.Method = "PUT" },
			func(in *Incoming) { in.URI = "/a/b?c=2" },
			func(in *Incoming) { in.Body = []byte("text2") },
			func(in *Incoming) { in.Host, in.Method = "hP", "OST" },
			func(in *Incoming) { in.URI, in.Body = "/a/b?c=1t", []byte("ext") },
		} {
			c.Assert(sending(change), qt.Not(qt.Equals), same)
		}
	})

	t.Run("another workspace's has another", func(t *testing.T) {
		c := qt.New(t)
		in := &Incoming{Host: "h", Method: "POST", URI: "/a/b?c=1", Body: []byte("text")}
		c.Assert(fingerprint("other", in), qt.Not(qt.Equals), fingerprint("team", in))
	})
}

func BenchmarkFingerprint(b *testing.B) {
	in := &Incoming{Host: "host.example", Method: "POST", URI: "/a/b", Body: make([]byte, 1<<20)}
	b.SetBytes(1 << 20)
	for b.Loop() {
		_ = fingerprint("team", in)
	}
}

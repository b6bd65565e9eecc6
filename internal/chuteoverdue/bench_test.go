package chuteoverdue

import "testing"

// BenchmarkTable measures what a call costs: one limit when it is sent and one sample when it begins.
func BenchmarkTable(b *testing.B) {
	table := withCalls(New(), 100, 1, start)
	b.ReportAllocs()
	for range b.N {
		table.FirstEvent(key, expected, start)
		table = table.WithFirstEvent(wait("u1", start, 1), false, start)
	}
}

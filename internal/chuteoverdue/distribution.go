package chuteoverdue

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets per factor of two: a value is known to about a tenth.
	bucketsPerDoubling = 4
	// lowestBucket is the bucket number of the smallest values, 2^-5; the largest are 2^14.75, which is 27 s in
	// milliseconds.
	lowestBucket = -5 * bucketsPerDoubling
	bucketCount  = 20 * bucketsPerDoubling
	// halfLife is the half-life of samples.
	halfLife = time.Minute
)

// distribution counts samples by their logarithm; old ones decay. It is immutable.
type distribution struct {
	weights [bucketCount]float32
	// at is the time as of which the weights hold.
	at time.Time
}

// with returns the distribution with a sample.
func (d distribution) with(x float64, now time.Time) distribution {
	if !(x > 0) {
		return d
	}
	if weight := d.decay(now); weight < 1 {
		for i := range d.weights {
			d.weights[i] *= weight
		}
	}
	d.at = now
	d.weights[bucket(x)]++

	return d
}

// decay returns the factor by which samples have lost weight; a clock that goes back changes nothing.
func (d distribution) decay(now time.Time) float32 {
	return float32(math.Exp2(-float64(max(0, now.Sub(d.at))) / float64(halfLife)))
}

// samples returns the number of samples, less what has decayed.
func (d distribution) samples(now time.Time) float64 {
	sum := float32(0)
	for _, weight := range d.weights {
		sum += weight
	}

	return float64(sum * d.decay(now))
}

// quantile returns the value that a share q of the samples does not exceed, rounded up to the end of its bucket; 0
// without samples.
func (d distribution) quantile(q float64) float64 {
	sum := float32(0)
	for _, weight := range d.weights {
		sum += weight
	}
	left := float32(q) * sum
	for i, weight := range d.weights {
		if left -= weight; weight > 0 && left <= 0 {
			return math.Exp2((float64(i+lowestBucket) + 0.5) / bucketsPerDoubling)
		}
	}

	return 0
}

// bucket returns the index of the bucket for a value.
func bucket(x float64) int {
	return min(max(0, int(math.Round(math.Log2(x)*bucketsPerDoubling))-lowestBucket), bucketCount-1)
}

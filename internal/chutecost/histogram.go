package chutecost

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the number of buckets per factor of two, so that a quantile is off by at most 7%.
	bucketsPerOctave = 5
	// middleBucket is the bucket of the factor 1; the lowest and the highest one stand for factors of 1/84 and 84 and
	// all beyond them.
	middleBucket = 32
	bucketCount  = 2*middleBucket + 1
	// halfLife is the time after which a sample counts half.
	halfLife = time.Minute
)

// histogram counts factors, which are events divided by the events expected from the hint, by their logarithm.
// Samples lose weight with age.
type histogram struct {
	weights [bucketCount]float32
	total   float32
	// at is the time as of which the weights hold.
	at time.Time
}

// bucketOf returns the bucket of a factor.
func bucketOf(factor float64) int {
	return int(min(max(math.Round(math.Log2(factor)*bucketsPerOctave)+middleBucket, 0), bucketCount-1))
}

// decay returns what the weights have to be multiplied by at a later time.
//
// Time that goes back makes no sample heavier.
func (h *histogram) decay(now time.Time) float64 {
	return math.Exp2(-max(0, float64(now.Sub(h.at))/float64(halfLife)))
}

// withSample returns the histogram with one more factor. The receiver is unchanged.
func (h *histogram) withSample(factor float64, now time.Time) histogram {
	next := histogram{at: now}
	if now.Before(h.at) {
		next.at = h.at
	}
	if left := float32(h.decay(now)); left*h.total > negligibleWeight {
		for i, weight := range h.weights {
			next.weights[i] = weight * left
		}
		next.total = h.total * left
	}
	next.weights[bucketOf(factor)]++
	next.total++

	return next
}

// negligibleWeight is the weight of samples below which they are dropped, so that no number becomes denormal.
const negligibleWeight = 1e-6

// mixture is the weighted sum of several histograms.
type mixture struct {
	weights [bucketCount]float32
	total   float32
}

// add adds a histogram whose weights are multiplied by a factor.
func (m *mixture) add(h *histogram, factor float32) {
	for i, weight := range h.weights {
		m.weights[i] += weight * factor
	}
	m.total += h.total * factor
}

// quantiles returns the median and the upper quantile of a mixture that is not empty. Within a bucket samples are taken
// as evenly distributed.
func (m *mixture) quantiles() (median, upper float64) {
	medianRank, upperRank := m.total*medianQuantile, m.total*upperQuantile
	below, highest := float32(0), 0
	for i, weight := range m.weights {
		if weight == 0 {
			continue
		}
		if below < medianRank && medianRank <= below+weight {
			median = factorAt(i, (medianRank-below)/weight)
		}
		if upperRank <= below+weight {
			return median, factorAt(i, (upperRank-below)/weight)
		}
		below += weight
		highest = i
	}

	// Rounding can leave the sum of the weights below a rank.
	return median, factorAt(highest, 1)
}

// factorAt returns the factor at a position within a bucket, from 0 to 1.
func factorAt(bucket int, position float32) float64 {
	return math.Exp2((float64(bucket-middleBucket) + float64(position) - 0.5) / bucketsPerOctave)
}

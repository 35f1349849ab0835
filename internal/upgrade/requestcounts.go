package upgrade

import "maps"

// RequestCounts counts the outcomes of requests since a process began. It is sent to the
// supervisor as CBOR and is part of the status report as JSON. Completed, Rejected,
// Aborted and ClientGone add up to all requests that ended.
type RequestCounts struct {
	Completed     int64   `cbor:"1,keyasint,omitempty"`               // answered with a response
	Rejected      int64   `cbor:"2,keyasint,omitempty"`               // answered with a rejection: a retry is harmless
	Aborted       int64   `cbor:"3,keyasint,omitempty"`               // answered with a failure: it may have been executed
	ClientGone    int64   `cbor:"4,keyasint,omitempty" json:"Left"`   // the client disconnected before the response
	Late          int64   `cbor:"5,keyasint,omitempty"`               // ended after the deadline, with any outcome above
	WeightOffered float64 `cbor:"6,keyasint,omitempty" json:"Asked"`  // sum of the requests' priority weights
	WeightEarned  float64 `cbor:"7,keyasint,omitempty" json:"Earned"` // the part of WeightOffered that the latency objectives grant
	LogLatencySum float64 `cbor:"8,keyasint,omitempty" json:"Time"`   // sum of ln(latency / objective) of completed requests
	Attempts      int64   `cbor:"9,keyasint,omitempty" json:"Hops"`   // of all requests
	// Classes holds the number of requests, the weight offered and the weight earned, in
	// this order, by traffic class.
	Classes map[string][3]float64 `cbor:"10,keyasint,omitempty" json:"Rules"`
}

// ended returns the number of requests that ended.
func (c RequestCounts) ended() int64 {
	return c.Completed + c.Rejected + c.Aborted + c.ClientGone
}

// failed returns the number of requests that were rejected, aborted, late, or left by their
// client. The number of ended requests bounds it, since a late request may count twice.
func (c RequestCounts) failed() int64 {
	return min(c.Rejected+c.Aborted+c.ClientGone+c.Late, c.ended())
}

// outcomesSince returns the outcomes since an earlier count. The fields after Late stay zero.
func (c RequestCounts) outcomesSince(earlier RequestCounts) RequestCounts {
	return RequestCounts{
		Completed:  c.Completed - earlier.Completed,
		Rejected:   c.Rejected - earlier.Rejected,
		Aborted:    c.Aborted - earlier.Aborted,
		ClientGone: c.ClientGone - earlier.ClientGone,
		Late:       c.Late - earlier.Late,
	}
}

// Add returns the sum of two counts.
func (c RequestCounts) Add(other RequestCounts) RequestCounts {
	return RequestCounts{
		Completed:     c.Completed + other.Completed,
		Rejected:      c.Rejected + other.Rejected,
		Aborted:       c.Aborted + other.Aborted,
		ClientGone:    c.ClientGone + other.ClientGone,
		Late:          c.Late + other.Late,
		WeightOffered: c.WeightOffered + other.WeightOffered,
		WeightEarned:  c.WeightEarned + other.WeightEarned,
		LogLatencySum: c.LogLatencySum + other.LogLatencySum,
		Attempts:      c.Attempts + other.Attempts,
		Classes:       addClasses(c.Classes, other.Classes),
	}
}

// addClasses returns the sum of the counts of each class, and leaves a and b unchanged.
func addClasses(a, b map[string][3]float64) map[string][3]float64 {
	sum := maps.Clone(a)
	for name, counts := range b {
		if sum == nil {
			sum = map[string][3]float64{}
		}
		total := sum[name]
		for i := range total {
			total[i] += counts[i]
		}
		sum[name] = total
	}
	return sum
}

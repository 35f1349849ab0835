package canary

// MaxClasses is the number of traffic classes that are compared individually. Further
// classes count only in the totals.
const MaxClasses = 8

// Counts are the totals of one router since its start, or over a sample. Weights are
// priority weights. Fields that an earlier generation does not report are zero: without
// Completed, Attempts or Classes, slowness, attempts or classes are not compared.
type Counts struct {
	Requests      float64 `cbor:"1,keyasint,omitempty" json:"Txns"`     // requests that have ended
	WeightOffered float64 `cbor:"2,keyasint,omitempty" json:"Asked"`    // of all these requests
	WeightEarned  float64 `cbor:"3,keyasint,omitempty" json:"Earned"`   // of requests answered in time, and a part of the weight of late ones
	Rejected      float64 `cbor:"4,keyasint,omitempty" json:"Refused"`  // rejected with a response that says that a retry is safe
	Failed        float64 `cbor:"5,keyasint,omitempty"`                 // aborted, or the client disconnected before a response
	Completed     float64 `cbor:"6,keyasint,omitempty" json:"Answered"` // answered with a response
	// LogLatencySum is the sum of ln(latency / objective) of completed requests.
	LogLatencySum float64                `cbor:"7,keyasint,omitempty" json:"Time"`
	Attempts      float64                `cbor:"8,keyasint,omitempty" json:"Hops"`  // of all requests
	Classes       map[string]ClassCounts `cbor:"9,keyasint,omitempty" json:"Rules"` // by traffic class
}

// ClassCounts are the totals of one traffic class.
type ClassCounts struct {
	_             struct{} `cbor:",toarray"`
	Requests      float64  `json:"Txns"`
	WeightOffered float64  `json:"Asked"`
	WeightEarned  float64  `json:"Earned"`
}

// Minus returns the counts added since earlier totals.
func (c Counts) Minus(earlier Counts) Counts { return c.addScaled(earlier, -1) }

// Plus returns the sum of both counts.
func (c Counts) Plus(other Counts) Counts { return c.addScaled(other, 1) }

// addScaled returns c + scale*other, with at most MaxClasses classes.
func (c Counts) addScaled(other Counts, scale float64) Counts {
	sum := Counts{
		Requests:      c.Requests + scale*other.Requests,
		WeightOffered: c.WeightOffered + scale*other.WeightOffered,
		WeightEarned:  c.WeightEarned + scale*other.WeightEarned,
		Rejected:      c.Rejected + scale*other.Rejected,
		Failed:        c.Failed + scale*other.Failed,
		Completed:     c.Completed + scale*other.Completed,
		LogLatencySum: c.LogLatencySum + scale*other.LogLatencySum,
		Attempts:      c.Attempts + scale*other.Attempts,
	}
	for _, classes := range []map[string]ClassCounts{c.Classes, other.Classes} {
		for name := range classes {
			if sum.Classes == nil {
				sum.Classes = map[string]ClassCounts{}
			}
			if len(sum.Classes) < MaxClasses || sum.Classes[name] != (ClassCounts{}) {
				sum.Classes[name] = c.Classes[name].addScaled(other.Classes[name], scale)
			}
		}
	}
	return sum
}

func (c ClassCounts) addScaled(other ClassCounts, scale float64) ClassCounts {
	return ClassCounts{
		Requests:      c.Requests + scale*other.Requests,
		WeightOffered: c.WeightOffered + scale*other.WeightOffered,
		WeightEarned:  c.WeightEarned + scale*other.WeightEarned,
	}
}

// minWeight keeps shares finite where no weight was offered.
const minWeight = 1e-9

// loss returns the share of the weight offered that was not earned.
func (c *Counts) loss() float64 { return 1 - c.WeightEarned/max(c.WeightOffered, minWeight) }

// earned returns the share of the weight offered that was earned.
func (c *ClassCounts) earned() float64 { return c.WeightEarned / max(c.WeightOffered, minWeight) }

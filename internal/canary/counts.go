package canary

// MaxClasses is how many traffic classes are compared by themselves. The weight of
// further ones counts only in the totals.
const MaxClasses = 8

// Counts are the totals of one router since its start, or over a sample. Weights are
// priority weights. What an earlier generation does not report is zero and not compared.
type Counts struct {
	Requests      float64 `cbor:"1,keyasint,omitempty" json:"Txns"`     // that have ended
	WeightOffered float64 `cbor:"2,keyasint,omitempty" json:"Asked"`    // of all of them
	WeightEarned  float64 `cbor:"3,keyasint,omitempty" json:"Earned"`   // of those answered in time, and a part of it for late ones
	Rejected      float64 `cbor:"4,keyasint,omitempty" json:"Refused"`  // answered that repeating is harmless
	Failed        float64 `cbor:"5,keyasint,omitempty"`                 // aborted, or the client left without a response
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

// Minus returns what came since o was taken.
func (c Counts) Minus(o Counts) Counts { return c.addScaled(o, -1) }

// Plus returns the sum.
func (c Counts) Plus(o Counts) Counts { return c.addScaled(o, 1) }

// addScaled returns c + scale*o, with at most MaxClasses classes.
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

func (c ClassCounts) addScaled(o ClassCounts, scale float64) ClassCounts {
	return ClassCounts{
		Requests:      c.Requests + scale*o.Requests,
		WeightOffered: c.WeightOffered + scale*o.WeightOffered,
		WeightEarned:  c.WeightEarned + scale*o.WeightEarned,
	}
}

// minWeight keeps shares of no weight at all finite.
const minWeight = 1e-9

// loss is the share of the weight offered that was not earned.
func (c *Counts) loss() float64 { return 1 - c.WeightEarned/max(c.WeightOffered, minWeight) }

// earned is the share of the weight offered that was earned.
func (c *ClassCounts) earned() float64 { return c.WeightEarned / max(c.WeightOffered, minWeight) }

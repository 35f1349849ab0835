package scenario

// Load describes the clients' requests and retries.
type Load struct {
	RequestsPerS       float64   `yaml:"txns_per_s"`   // first requests, without retries
	VideoShare         float64   `yaml:"videos"`       // share of requests that are for videos
	WriteShare         float64   `yaml:"writes"`       // share of requests that are writes
	Objects            int       `yaml:"objects"`      // number of objects in the catalogue
	Skew               float64   `yaml:"skew"`         // exponent of Zipf's law over the catalogue
	LocalShare         float64   `yaml:"local"`        // share of requests that are for objects of one office only
	DriftS             float64   `yaml:"drift_s"`      // interval at which one object in a hundred changes its popularity; 0: never
	Retries            int       `yaml:"retries"`      // maximum number of retries of a client
	RetryWaitMS        float64   `yaml:"wait_ms"`      // wait before a retry; 0: none
	RetryAfterShare    float64   `yaml:"honour"`       // share of clients that wait as long as X-Throttle-Ms says
	ClientTimeoutShare float64   `yaml:"patience"`     // share of a request's deadline that a client waits
	PageFreshS         float64   `yaml:"page_fresh_s"` // how long a page is fresh; 0: until it is purged
	OfficeWeights      []float64 `yaml:"weights"`      // share of the load, by office in turn; empty: all equal
}

func defaultLoad() Load {
	return Load{
		RequestsPerS:       160,
		VideoShare:         0.54,
		WriteShare:         0.034,
		Objects:            3000,
		Skew:               0.9,
		LocalShare:         0.15,
		DriftS:             10,
		Retries:            2,
		RetryWaitMS:        150,
		RetryAfterShare:    0.5,
		ClientTimeoutShare: 0.8,
	}
}

// Weight is an office's load as a multiple of the mean.
func (l *Load) Weight(office, offices int) float64 {
	if len(l.OfficeWeights) == 0 {
		return 1
	}
	sum := 0.0
	for i := range offices {
		sum += l.OfficeWeights[i%len(l.OfficeWeights)]
	}
	return l.OfficeWeights[office%len(l.OfficeWeights)] * float64(offices) / sum
}

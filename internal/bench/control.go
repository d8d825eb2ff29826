package bench

// control returns the measurements of what the fleet spends on control and of what its control plane achieves.
func control() []Measurement {
	return []Measurement{
		{Name: "control traffic", Run: controlTraffic},
		{Name: "configuration in effect everywhere", Run: spread},
		{Name: "claims", Run: claims},
		{Name: "versions", Run: versions},
		{Name: "throughput", Timed: true, Run: throughput},
		{Name: "slopes", Timed: true, Run: slopes},
	}
}

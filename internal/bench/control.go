package bench

// controlMeasurements returns the measurements of the cost and of the results of the control plane.
func controlMeasurements() []Measurement {
	return []Measurement{
		{Name: "control traffic", Run: measureControlTraffic},
		{Name: "configuration in effect everywhere", Run: measureSpread},
		{Name: "claims", Run: measureClaims},
		{Name: "versions", Run: measureVersions},
		{Name: "throughput", Timed: true, Run: measureThroughput},
		{Name: "slopes", Timed: true, Run: measureSlopes},
	}
}

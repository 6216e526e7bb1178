package queue

// Demand is the share of a zone that one team uses, wants and is entitled to.
type Demand struct {
	Weight    int64
	Used      float64 // dominant share in use
	Wants     float64 // dominant share that the team could use, at least Used
	FairShare float64 // fair share, set by SetFairShares
}

// SetFairShares sets the fair share of each team. It divides the sum of the
// shares in use by weight, with max-min fairness: no team gets more than it
// wants, and the rest is divided among the other teams.
func SetFairShares(teams []Demand) {
	remaining := 0.0
	weights := int64(0)
	for i := range teams {
		remaining += teams[i].Used
		weights += teams[i].Weight
		teams[i].FairShare = -1
	}
	for settled := true; settled; {
		settled = false
		perWeight := remaining / float64(max(weights, 1))
		for i := range teams {
			t := &teams[i]
			if t.FairShare < 0 && t.Wants <= perWeight*float64(t.Weight) {
				t.FairShare = t.Wants
				remaining -= t.Wants
				weights -= t.Weight
				settled = true
				break
			}
		}
	}
	for i := range teams {
		if t := &teams[i]; t.FairShare < 0 {
			t.FairShare = remaining * float64(t.Weight) / float64(max(weights, 1))
		}
	}
}

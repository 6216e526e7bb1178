package queue

// Demand is the part of a zone that one team uses, wants and should have.
type Demand struct {
	Weight int64
	Used   float64 // dominant share
	Wants  float64 // the most that it could use, at least Used
	Fair   float64 // set by Divide
}

// Divide divides what all teams use together by weight, but gives no team more
// than it wants; what one leaves is divided between the others.
func Divide(teams []Demand) {
	left := 0.0
	weights := int64(0)
	for i := range teams {
		left += teams[i].Used
		weights += teams[i].Weight
		teams[i].Fair = -1
	}
	for settled := true; settled; {
		settled = false
		level := left / float64(max(weights, 1))
		for i := range teams {
			t := &teams[i]
			if t.Fair < 0 && t.Wants <= level*float64(t.Weight) {
				t.Fair = t.Wants
				left -= t.Wants
				weights -= t.Weight
				settled = true
				break
			}
		}
	}
	for i := range teams {
		if t := &teams[i]; t.Fair < 0 {
			t.Fair = left * float64(t.Weight) / float64(max(weights, 1))
		}
	}
}

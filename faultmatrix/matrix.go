package faultmatrix

// Impossible says why a fault cannot strike at a step; it is empty for the
// cells that can occur.
func Impossible(step Step, fault Fault) string {
	if fault != FaultDoubled && fault != FaultDisorder {
		return ""
	}
	switch step {
	case StepReturn:
		return "an answer travels once, on the connection that its request opened"
	case StepAnswer:
		if fault == FaultDisorder {
			return "each answer travels on the connection of its own call"
		}
	}
	return ""
}

// Pairs are faults that strike together, a moment apart.
var Pairs = []Cell{
	{Step: StepReserve, Faults: []Fault{FaultLogLost, FaultDies}},
	{Step: StepReserve, Faults: []Fault{FaultLogDown, FaultDies}},
	{Step: StepStart, Faults: []Fault{FaultDies, FaultWorkerDies}},
	{Step: StepStart, Faults: []Fault{FaultLate, FaultDies}},
	{Step: StepRenew, Faults: []Fault{FaultPauses, FaultDrift}},
	{Step: StepRenew, Faults: []Fault{FaultCutBoth, FaultPauses}},
	{Step: StepTakeOver, Faults: []Fault{FaultDies, FaultPauses}},
	{Step: StepTakeOver, Faults: []Fault{FaultLogSlow, FaultPauses}},
	{Step: StepTakeOver, Faults: []Fault{FaultWorkerGone, FaultDies}},
	{Step: StepStart, Faults: []Fault{FaultPauses, FaultWorkerGone}},
	{Step: StepGive, Faults: []Fault{FaultLogLost, FaultDies}},
	{Step: StepGive, Faults: []Fault{FaultCutLog, FaultRace}},
	{Step: StepClaim, Faults: []Fault{FaultLogLost, FaultPauses}},
	{Step: StepDrain, Faults: []Fault{FaultLogDown, FaultListStale}},
	{Step: StepDrain, Faults: []Fault{FaultCancels, FaultPauses}},
	{Step: StepApply, Faults: []Fault{FaultKey, FaultCutLog}},
}

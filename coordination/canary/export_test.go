package canary

// SetComparison has a holder decide by another comparison.
func (h *Holder) SetComparison(c Comparison) { h.comparison = c }

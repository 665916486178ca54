package canary

// SetComparison replaces the method by which the holder compares the versions.
func (h *Holder) SetComparison(c Comparison) { h.comparison = c }

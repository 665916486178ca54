package config

// ResetInForceGeneration makes the follower forget which generation it has in force, so that
// a test can show that the check of histories sees a missing guard.
func (f *Follower) ResetInForceGeneration() { f.inForce.Generation = 0 }

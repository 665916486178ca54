package config

// ResetInForceGeneration makes the follower forget which generation it has in force, so that
// a test can show that its history check detects a missing guard in Learn.
func (f *Follower) ResetInForceGeneration() { f.inForce.Generation = 0 }

package config

// ResetInForceGeneration makes the follower forget which generation it has in force. Learn then
// accepts an earlier generation, and a test can show that its check detects that.
func (f *Follower) ResetInForceGeneration() { f.inForce.Generation = 0 }

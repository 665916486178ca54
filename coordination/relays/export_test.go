package relays

// PerDomain is how many relays each failure domain has where nothing else is set.
func PerDomain(daemons, domains int) int { return perDomain(daemons, domains, DirectFleet) }

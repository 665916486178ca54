package relays

// RelaysPerDomain is how many relays each failure domain has where nothing else is set.
func RelaysPerDomain(daemons, domains int) int { return relaysPerDomain(daemons, domains, DirectFleet) }

package relays

// RelaysPerDomain is the number of relays in each failure domain with the default
// DirectFleet.
func RelaysPerDomain(daemons, domains int) int { return relaysPerDomain(daemons, domains, DirectFleet) }

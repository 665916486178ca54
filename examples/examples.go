// Package examples embeds the manifests of the two example fleets.
package examples

import _ "embed"

// Huaman is the manifest of the Huamán Lost Pet Alert Routing Fleet.
//
//go:embed huaman.json
var Huaman []byte

// AspenCoulee is the manifest of the Aspen Coulee Slot Brokerage Model Fleet.
//
//go:embed aspen-coulee.json
var AspenCoulee []byte

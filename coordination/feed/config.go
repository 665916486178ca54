package feed

import (
	"bytes"
	"slices"
)

// maxConfigs is the number of versions of the configuration that a ConfigHistory remembers.
const maxConfigs = 4

// ConfigUpdate is a version of the operator's configuration for a daemon that has an older one.
// A large fleet has a configuration of hundreds of kilobytes, of which a change touches a few
// lines, so that only these are sent.
type ConfigUpdate struct {
	Version uint64
	// Base is the version that Packed builds on, zero if it builds on none.
	Base   uint64
	Packed []byte
}

// ConfigHistory holds the latest versions of the operator's configuration. The zero value is
// empty.
type ConfigHistory struct {
	// versions is sorted by version number.
	versions []configVersion
	// packed holds the updates to the latest version that were made, by their base.
	packed map[uint64]ConfigUpdate
}

type configVersion struct {
	number uint64
	value  []byte
}

// Add adds a version. It ignores one that is not newer than the latest.
func (h *ConfigHistory) Add(version uint64, value []byte) {
	if version <= h.Latest() {
		return
	}
	h.versions = append(h.versions, configVersion{version, bytes.Clone(value)})
	h.versions = slices.Delete(h.versions, 0, max(0, len(h.versions)-maxConfigs))
	h.packed = map[uint64]ConfigUpdate{}
}

// Latest returns the number of the latest version, or zero if there is none.
func (h *ConfigHistory) Latest() uint64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].number
}

// Update returns the update for a daemon that has the given version, or false if that is the
// latest one.
func (h *ConfigHistory) Update(from uint64) (ConfigUpdate, bool) {
	if from >= h.Latest() {
		return ConfigUpdate{}, false
	}
	base, known := h.value(from)
	if !known {
		from = 0
	}
	if u, made := h.packed[from]; made {
		return u, true
	}
	latest := h.versions[len(h.versions)-1]
	packed, err := Pack(latest.value, base)
	if err != nil {
		return ConfigUpdate{}, false
	}
	u := ConfigUpdate{Version: latest.number, Base: from, Packed: packed}
	h.packed[from] = u
	return u, true
}

// Apply returns the configuration that an update brings. It returns an error if the update builds
// on a version that is not known here.
func (h *ConfigHistory) Apply(u ConfigUpdate) ([]byte, error) {
	base, known := h.value(u.Base)
	if u.Base != 0 && !known {
		return nil, &UnknownBaseError{Base: u.Base}
	}
	return Unpack(u.Packed, base)
}

func (h *ConfigHistory) value(version uint64) ([]byte, bool) {
	for _, v := range h.versions {
		if v.number == version {
			return v.value, true
		}
	}
	return nil, false
}

package partition

// maxCachedImages bounds what is known of a machine's cache.
const maxCachedImages = 48

// imageCache is what a machine's image cache holds, as far as is known.
type imageCache struct {
	names   []string // the latest used first
	version uint64   // of the machine's view since which they are so
}

// imageCatalog knows how large images and caches are.
type imageCatalog struct {
	cacheGB map[string]float64 // by machine type
	imageGB map[string]float64 // by image, as last assigned
}

// afterUse returns a cache's images once one of them, or another one, has been used: the latest used, as many as the
// cache holds. changed is false when they are the same.
func (c *imageCatalog) afterUse(names []string, machineType, image string, gb float64) (used []string, changed bool) {
	c.imageGB[image] = gb
	if len(names) > 0 && names[0] == image {
		return names, false
	}
	used = []string{image}
	freeGB := c.cacheGB[machineType] - gb
	for _, name := range names {
		if name == image {
			continue
		}
		if freeGB -= c.imageGB[name]; freeGB < 0 || len(used) == maxCachedImages {
			break
		}
		used = append(used, name)
	}
	return used, true
}

// SetCaches sets how many GB of images the machine types keep.
func (s *State) SetCaches(gb map[string]float64) { s.images.cacheGB = gb }

// recordImage notes that a machine has an image, or is to fetch it.
func (s *State) recordImage(m *machine, image string, gb float64) {
	names, changed := s.images.afterUse(m.images.names, m.Type, image, gb)
	if !changed {
		return
	}
	m.images.names = names
	s.markChanged(m)
	m.images.version = m.version
}

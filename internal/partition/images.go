package partition

// maxCachedImages is the largest number of images that are tracked for a machine's cache.
const maxCachedImages = 48

// imageCache is the presumed content of a machine's image cache: workers don't report it, so it follows from the
// images of the machine's tasks.
type imageCache struct {
	names   []string // the most recently used first
	version uint64   // the machine's version when names last changed
}

// imageCatalog holds the sizes of the machines' image caches and of the images, in GB.
type imageCatalog struct {
	cacheGB map[string]float64 // by machine type
	imageGB map[string]float64 // by image, as last seen in an assignment or a found task's job
}

// afterUse returns the content of a cache after an image has been used: that image first, then the others, the most
// recently used first, as many as fit, up to maxCachedImages in all. changed is false if the order stays the same.
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

// SetImageCacheSizes sets the size of the image cache of each machine type, in GB.
func (s *State) SetImageCacheSizes(gb map[string]float64) { s.images.cacheGB = gb }

// recordImage records that a machine has an image in its cache, or will fetch it for a task.
func (s *State) recordImage(m *machine, image string, gb float64) {
	names, changed := s.images.afterUse(m.images.names, m.Type, image, gb)
	if !changed {
		return
	}
	m.images.names = names
	s.markChanged(m)
	m.images.version = m.version
}

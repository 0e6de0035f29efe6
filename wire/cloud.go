package wire

// Paths of the cloud.
const (
	PathCatalog   = "/catalog"
	PathInstances = "/rentals"
	PathScaleIn   = "/rentals/return"
)

const (
	// MaxScaleOut is the largest number of machines in one scale-out request.
	MaxScaleOut = 50
	// MaxList is the largest number of instances in one page of the cloud's list.
	MaxList = 500
)

// Phases of an instance.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed" // it stopped on its own, and is listed until it is returned
)

// MachineType is one entry of the catalog.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemGB     float64  `json:"mem_gb"`
	CacheGB   float64  `json:"cache_gb"`       // of images that a machine keeps
	FetchGBPS float64  `json:"fetch_gb_per_s"` // GB of images a second, give or take a third
	Price     float64  `json:"price"`          // per hour
	SpotPrice float64  `json:"low_price"`      // per hour; it moves, and this is the present one
	BootS     float64  `json:"ready_s"`        // usual time from the request until the worker's first heartbeat
	Zones     []string `json:"yards"`          // where it is offered
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"hulls"`
}

// ScaleOutRequest asks for machines of one kind. It is idempotent by its name: a repeated one gets the same
// answer. So a name must never be used for another request.
type ScaleOutRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"hull"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"how_many"` // at most MaxScaleOut; fewer may be granted
}

// HostList names machines: those that a scale-out request was granted, or those to return.
type HostList struct {
	Hosts []string `json:"hosts"`
}

// Instance is one machine in the cloud's list.
type Instance struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"` // of its worker, host:port
	Type  string  `json:"hull"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	Phase string  `json:"phase"`  // one of the phases of an instance
	AgeS  float64 `json:"held_s"` // since the scale-out request, at the moment that the list describes
}

// InstancePage is one page of the cloud's list, in the order of the ids. The list lags behind.
type InstancePage struct {
	Instances []Instance `json:"hosts"`
	More      bool       `json:"truncated"` // there are more pages
}

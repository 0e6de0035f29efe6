package wire

// Paths of the cloud's API. Requests to PathInstances list instances and scale out; PathScaleIn returns machines.
const (
	PathCatalog   = "/catalog"
	PathInstances = "/rentals"
	PathScaleIn   = "/rentals/return"
)

const (
	// MaxScaleOut is the maximum number of machines in one scale-out request.
	MaxScaleOut = 50
	// MaxList is the maximum number of instances in one page of the cloud's list.
	MaxList = 500
)

// Phases of an instance.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed" // the instance stopped on its own; it is listed until it is returned
)

// MachineType describes a machine type that the cloud offers.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemGB     float64  `json:"mem_gb"`
	CacheGB   float64  `json:"cache_gb"`       // size of the machine's image cache
	FetchGBPS float64  `json:"fetch_gb_per_s"` // rate at which images are fetched, in GB per second; it varies by a third
	Price     float64  `json:"price"`          // price per hour of an on-demand machine
	SpotPrice float64  `json:"low_price"`      // present price per hour of a spot instance; it changes over time
	BootS     float64  `json:"ready_s"`        // usual time from the scale-out request until the worker's first heartbeat
	Zones     []string `json:"yards"`          // zones in which the type is offered
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types []MachineType `json:"hulls"`
}

// ScaleOutRequest asks the cloud for machines of one type. The cloud recognizes a repeated request by its name
// and answers it like the first one, without granting more machines. Therefore each new request needs a new
// name.
type ScaleOutRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"hull"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`  // asks for spot instances
	Count int    `json:"how_many"` // at most MaxScaleOut; the cloud may grant fewer
}

// HostList lists ids of machines: those that the cloud grants to a scale-out request, or those to return.
type HostList struct {
	Hosts []string `json:"hosts"`
}

// Instance describes one machine in the cloud's list.
type Instance struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"` // address of the machine's worker, host:port
	Type  string  `json:"hull"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	Phase string  `json:"phase"`  // MachineBooting, MachineRunning or MachineFailed
	AgeS  float64 `json:"held_s"` // time from the scale-out request until the moment that the list shows
}

// InstancePage is one page of the cloud's list, in the order of the ids. The list shows a past moment: recent
// changes are missing from it.
type InstancePage struct {
	Instances []Instance `json:"hosts"`
	More      bool       `json:"truncated"` // more pages follow
}

package golden

// The Frozen types are copies of the messages between controllers, as the releases in use encode them. They use only
// basic types and each other, so that no change in the code affects them, and they must not be changed. A release that
// adds fields or messages gets further copies.

type FrozenAmounts struct{ CPU, GPU, Mem int64 }

type FrozenShape struct {
	Need  FrozenAmounts
	Types []string
	Zone  string
	Spot  bool
	Rank  int
	Owed  bool
	Tasks int
}

type FrozenTeamDemand struct {
	Team   string
	Term   uint64
	Shapes []FrozenShape
}

type FrozenStanding struct {
	Team    string
	Weight  float64
	Share   float64
	Taken   float64
	Waiting FrozenAmounts
}

type FrozenQuantiles struct {
	Count              int64
	P50, P95, P99, Max int64
}

type FrozenJobState struct {
	ID      string
	Phase   string
	Done    int
	Running int
}

type FrozenEvent struct {
	AtMS       int64
	Controller string
	Kind       string
	Job        string
	Task       int32
	Attempt    uint64
	Machine    string
	Zone       string
	Note       string
}

type FrozenPage struct {
	Host   string
	Events []FrozenEvent
	Next   uint64
	Lost   uint64
	More   bool
}

type FrozenTaskID struct {
	Job     string
	N       int
	Attempt uint64
}

type FrozenTaskView struct {
	ID       FrozenTaskID
	Team     string
	Rank     int
	Need     FrozenAmounts
	Phase    string
	Cause    string
	Stopping bool
	Covered  bool
	Since    int64
	Held     bool
}

type FrozenMachineView struct {
	ID         string
	Part       int
	Term       uint64
	Version    uint64
	Type       string
	Zone       string
	Spot       bool
	Cap        FrozenAmounts
	Free       FrozenAmounts
	Accounted  bool
	Usable     bool
	Draining   bool
	Silent     bool
	Overdue    bool
	Noticed    bool
	NoticeLeft int64
	Sick       bool
	Images     []string
	Idle       int64
	Count      int
	Whole      bool
	Tasks      []FrozenTaskView
	Left       []FrozenTaskID
}

type FrozenAsk struct {
	ID      FrozenTaskID
	Made    uint64
	Team    string
	Rank    int
	Need    FrozenAmounts
	Image   string
	ImageGB float64
	Machine string
	Term    uint64
	Victims []FrozenTaskID
	Over    bool
	Covered bool
	Hold    int64
	Stage   int
}

type FrozenStart struct {
	ID      FrozenTaskID
	Machine string
	Team    string
}

type FrozenStop struct {
	ID      FrozenTaskID
	Machine string
	GraceS  float64
}

type FrozenSettle struct {
	ID      FrozenTaskID
	Machine string
}

type FrozenCancel struct{ Job, Team string }

type FrozenRound struct {
	From    string
	Seq     uint64
	Terms   map[string]uint64
	Asks    []FrozenAsk
	Stops   []FrozenStop
	Settles []FrozenSettle
	Cancels []FrozenCancel
	Starts  []FrozenStart
	Slow    []string
}

type FrozenRoundAnswer struct {
	Incarnation string
	Refused     []bool
	Versions    []uint64
	Yielded     []bool
}

type FrozenPoll struct {
	Incarnation string
	Cursor      uint64
	Terms       map[string]uint64
	Wait        int64
	Gen         uint64
	Most        int
	AfterID     string
	Demands     []FrozenTeamDemand
}

type FrozenPollAnswer struct {
	Incarnation string
	Cursor      uint64
	Full        bool
	Parts       map[int]uint64
	Machines    []FrozenMachineView
	More        bool
	Capacity    FrozenAmounts
	Standings   []FrozenStanding
	Holds       bool
}

type FrozenHello struct {
	Contact  int64
	Resigned string
	From     string
	Strays   int
	Machines int
	Unheard  int
}

type FrozenDemand struct {
	Need    FrozenAmounts
	Types   []string
	Zone    string
	Spot    bool
	Rank    int
	Waiting int
	RunFor  int64
	Stage   int
	Slack   int64
}

type FrozenDemandAnswer struct{ Demands []FrozenDemand }

type FrozenJobQuery struct{ Team, ID string }

type FrozenJobAnswer struct {
	Known bool
	Found bool
	Retry bool
	State FrozenJobState
}

type FrozenSubmitQuery struct{ Body []byte }

type FrozenSubmitAnswer struct {
	Status     int
	Body       []byte
	RetryAfter int
}

type FrozenMachine struct{ ID, Zone string }

type FrozenDrainQuery struct{ Machines []FrozenMachine }

type FrozenDrainAnswer struct{ Ready []string }

type FrozenGoneNote struct{ Machines []FrozenMachine }

type FrozenTeamStatus struct {
	Team      string
	Term      uint64
	Guarantee FrozenAmounts
	Limit     FrozenAmounts
	Used      FrozenAmounts
	Jobs      int
	Waiting   int
	Running   int
	Waits     FrozenQuantiles
	Lateness  FrozenQuantiles
	Moves     []FrozenMoveNote
	Unmoved   []FrozenUnmoved
}

type FrozenMoveNote struct {
	Task, From, To, Reason, Outcome string
	Gain, Cost, Ago                 int64
}

type FrozenUnmoved struct {
	Why   string
	Count int
}

type FrozenTeamsQuery struct{}

type FrozenTeamsAnswer struct {
	Host      string
	Teams     []FrozenTeamStatus
	Capacity  FrozenAmounts
	Standings []FrozenStanding
	Yielded   uint64
}

type FrozenZonesQuery struct{}

type FrozenZoneStatus struct {
	Zone, State, Stage           string
	Admits                       string
	Held                         bool
	Flaps                        int
	AtMS                         int64
	Why                          string
	Machines, Unheard, Unsettled int
	Waiting                      int
}

type FrozenZonesAnswer struct {
	Host  string
	Zones []FrozenZoneStatus
	On    bool
	Fleet bool
}

type FrozenZoneHold struct {
	Zone string
	Held bool
}

type FrozenZoneHoldAnswer struct {
	Done    bool
	Holder  string
	Refusal string
}

type FrozenHistoryQuery struct {
	From uint64
	Most int
}

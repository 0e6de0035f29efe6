package wire

import "encoding/json"

// Paths of the key-value store.
const (
	PathKeys   = "/keys"
	PathTxn    = "/multi"
	PathLeases = "/holds"
	PathWatch  = "/changes"
)

// MaxTxnBytes is the largest sum of a transaction's values, in bytes. It leaves room below MaxBody for the
// keys and what the values are wrapped in.
const MaxTxnBytes = 48 << 10

// Item is a key of the key-value store with its value.
type Item struct {
	Key         string          `json:"k"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`          // revision of the key's last change
	LeaseID     uint64          `json:"hold,omitempty"` // that the key ends with; 0: none
}

// ItemPage is one page of keys, in their order.
type ItemPage struct {
	Items    []Item `json:"items"`
	More     bool   `json:"truncated"`  // there are more pages
	Revision uint64 `json:"ledger_rev"` // of the store at the time of the read
}

// Condition of a transaction: the key has this mod revision.
type Condition struct {
	Key         string `json:"k"`
	ModRevision uint64 `json:"stamp"` // 0: the key is absent
}

// Operation of a transaction: a put (Put, Value, LeaseID) or a drop (Drop), the other fields being empty.
type Operation struct {
	Put     string `json:"put,omitempty"` // key
	Value   any    `json:"v,omitempty"`
	LeaseID uint64 `json:"hold,omitempty"` // 0: the key is detached from its lease
	Drop    string `json:"drop,omitempty"` // key
}

// Txn is a transaction: all operations are carried out if all conditions hold, or else none.
type Txn struct {
	Conditions []Condition `json:"when"`
	Operations []Operation `json:"then"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision uint64   `json:"ledger_rev"` // of all its changes; where a condition failed, of the store
	Failed   []string `json:"failed"`     // keys whose conditions failed
}

// Change is one put or drop that a watch shows.
type Change struct {
	Put         string          `json:"put"`  // key; empty for a drop
	Drop        string          `json:"drop"` // key; empty for a put
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"` // revision of the change
}

// WatchResponse answers a watch with all changes after the revision that was asked for, in their order.
type WatchResponse struct {
	Revision uint64   `json:"ledger_rev"` // that the next watch may start after
	Changes  []Change `json:"log"`
}

// LeaseResponse answers a request for a lease.
type LeaseResponse struct {
	LeaseID uint64 `json:"hold"`
}

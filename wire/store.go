package wire

import "encoding/json"

// Paths of the key-value store's API, for keys, transactions, leases and watches.
const (
	PathKeys   = "/keys"
	PathTxn    = "/multi"
	PathLeases = "/holds"
	PathWatch  = "/changes"
)

// MaxTxnBytes is the maximum total size of a transaction's values in bytes. It is below MaxBody, so that the
// keys and the JSON around the values fit into the request as well.
const MaxTxnBytes = 48 << 10

// Item is one key of the key-value store with its value.
type Item struct {
	Key         string          `json:"k"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`          // store revision of the key's last change
	LeaseID     uint64          `json:"hold,omitempty"` // the key is removed when this lease ends; 0: no lease
}

// ItemPage is one page of a list of keys, in the order of the keys.
type ItemPage struct {
	Items    []Item `json:"items"`
	More     bool   `json:"truncated"`  // more pages follow
	Revision uint64 `json:"ledger_rev"` // revision of the store at the time of the read
}

// Condition of a transaction, which holds if the key has this mod revision.
type Condition struct {
	Key         string `json:"k"`
	ModRevision uint64 `json:"stamp"` // 0: the key must be absent
}

// Operation of a transaction: either a put, with Put, Value and LeaseID, or a delete, with Drop alone.
type Operation struct {
	Put     string `json:"put,omitempty"` // key to write
	Value   any    `json:"v,omitempty"`
	LeaseID uint64 `json:"hold,omitempty"` // lease to attach the key to; 0: the key is detached from its lease
	Drop    string `json:"drop,omitempty"` // key to delete
}

// Txn is a transaction. The store carries out all operations if all conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition `json:"when"`
	Operations []Operation `json:"then"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision uint64   `json:"ledger_rev"` // revision that all its changes have; the store's present one if a condition failed
	Failed   []string `json:"failed"`     // keys whose conditions did not hold; empty if the transaction was carried out
}

// Change is one put or delete that a watch reports.
type Change struct {
	Put         string          `json:"put"`  // key that was written; empty for a delete
	Drop        string          `json:"drop"` // key that was deleted; empty for a put
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"` // store revision of the change
}

// WatchResponse answers a watch with all changes after the requested revision, in the order of their revisions.
type WatchResponse struct {
	Revision uint64   `json:"ledger_rev"` // the next watch asks for changes after this revision
	Changes  []Change `json:"log"`
}

// LeaseResponse answers a request that creates a lease.
type LeaseResponse struct {
	LeaseID uint64 `json:"hold"`
}

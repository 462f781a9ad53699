package account

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// KeyHash is the SHA-256 of a key. Keys are kept only as hashes: a memory dump does not
// reveal them, and the time of a lookup does not depend on how much of a key was guessed.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Account is a client account.
type Account struct {
	// Name is unique in a configuration and stable across versions.
	Name string
	// Keys are the hashes of the keys that authenticate the account.
	Keys []KeyHash
	// Priority replaces the priority of the route if HasPriority is set. 0 is the most
	// urgent.
	Priority    int
	HasPriority bool
	Cap         Cap
}

// Cap is the usage cap of an account over all nodes together, as a token bucket. A Rate and
// Burst of 0 mean no cap.
type Cap struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests beyond Rate.
	Burst float64
}

// Limited reports whether the cap limits anything.
func (c Cap) Limited() bool { return c.Rate > 0 || c.Burst > 0 }

// Table holds the accounts of one configuration. Immutable.
type Table struct {
	byKey  map[KeyHash]*Account
	byName map[string]*Account
}

// NewTable compiles accounts. It returns an error that states all faults, by account name,
// if a name is empty or repeated, a key is empty or belongs to two accounts, or a limit is
// negative. The caller must not change accounts afterwards.
func NewTable(accounts []Account) (*Table, error) {
	t := &Table{
		byKey:  make(map[KeyHash]*Account, len(accounts)),
		byName: make(map[string]*Account, len(accounts)),
	}
	var faults faultList
	for i := range accounts {
		t.add(&accounts[i], &faults)
	}
	return t, faults.err()
}

var emptyKey = HashKey("")

func (t *Table) add(a *Account, faults *faultList) {
	switch {
	case a.Name == "":
		faults.add("an account has no name")
	case t.byName[a.Name] != nil:
		faults.add("account %q is listed twice", a.Name)
	}
	t.byName[a.Name] = a
	if a.Cap.Rate < 0 || a.Cap.Burst < 0 {
		faults.add("account %q has a negative rate or burst", a.Name)
	}
	for _, key := range a.Keys {
		switch other := t.byKey[key]; {
		case key == emptyKey:
			faults.add("account %q has an empty key", a.Name)
		case other != nil && other.Name != a.Name:
			faults.add("accounts %q and %q share a key", other.Name, a.Name)
		}
		t.byKey[key] = a
	}
}

// Authenticate returns the account that holds a key, or nil.
func (t *Table) Authenticate(key string) *Account { return t.byKey[HashKey(key)] }

// Account returns an account by name, or nil.
func (t *Table) Account(name string) *Account { return t.byName[name] }

// Len returns the number of accounts, 0 for a nil table.
func (t *Table) Len() int { return len(t.accounts()) }

// Limited reports whether any account of a table, which may be nil, has a usage cap.
func (t *Table) Limited() bool {
	for _, a := range t.accounts() {
		if a.Cap.Limited() {
			return true
		}
	}
	return false
}

// maxFaults bounds the faults that an error states.
const maxFaults = 20

// faultList collects the faults of a configuration.
type faultList struct {
	faults  []string
	omitted int
}

func (l *faultList) add(format string, args ...any) {
	if len(l.faults) == maxFaults {
		l.omitted++
		return
	}
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *faultList) err() error {
	switch {
	case len(l.faults) == 0:
		return nil
	case l.omitted > 0:
		return errors.Errorf("accounts: %q and %d more", l.faults, l.omitted)
	}
	return errors.Errorf("accounts: %q", l.faults)
}

// Changes names the accounts that differ between two tables, each list sorted.
type Changes struct {
	Added, Removed []string
	// Keys lists accounts with other keys, and Limits those with another cap or priority.
	Keys, Limits []string
}

// Empty reports whether the tables are equal.
func (c *Changes) Empty() bool {
	return len(c.Added)+len(c.Removed)+len(c.Keys)+len(c.Limits) == 0
}

// Compare returns the differences of two tables, either of which may be nil.
func Compare(before, after *Table) Changes {
	var c Changes
	for name, a := range after.accounts() {
		b := before.accounts()[name]
		if b == nil {
			c.Added = append(c.Added, name)
			continue
		}
		if !sameKeys(a.Keys, b.Keys) {
			c.Keys = append(c.Keys, name)
		}
		if a.Cap != b.Cap || a.HasPriority != b.HasPriority || a.Priority != b.Priority {
			c.Limits = append(c.Limits, name)
		}
	}
	for name := range before.accounts() {
		if after.accounts()[name] == nil {
			c.Removed = append(c.Removed, name)
		}
	}
	for _, list := range [][]string{c.Added, c.Removed, c.Keys, c.Limits} {
		slices.Sort(list)
	}
	return c
}

func (t *Table) accounts() map[string]*Account {
	if t == nil {
		return nil
	}
	return t.byName
}

func sameKeys(a, b []KeyHash) bool {
	if len(a) != len(b) {
		return false
	}
	for _, key := range a {
		if !slices.Contains(b, key) {
			return false
		}
	}
	return true
}

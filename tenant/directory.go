package tenant

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Name is the name of a client account.
type Name string

// Key is the secret with which a caller proves that it belongs to an account. It never leaves the node that checks it.
type Key string

// String hides the key from logs and error messages.
func (Key) String() string { return "(key)" }

// GoString hides the key from logs and error messages.
func (Key) GoString() string { return "(key)" }

// Priority is the queueing priority of an account; 0 is the most urgent.
type Priority int

// Rate is a number of requests per second.
type Rate float64

// Account is a client account.
type Account struct {
	Name     Name
	Keys     []Key
	Priority *Priority // precedes the priority of the route; nil leaves the order to the routes
	Limit    Rate      // requests per second over all nodes; zero means no limit
	Burst    float64   // requests beyond Limit that may come at once
}

// ErrInvalid is returned for accounts that contradict each other or lack a field.
var ErrInvalid = errors.New("invalid accounts")

// AccountError is an error in one account; it matches ErrInvalid and names no key.
type AccountError struct {
	Account Name
	Field   string // field of Account, in lower case
	Message string
}

// Error returns the error with the account's name.
func (e *AccountError) Error() string {
	return ErrInvalid.Error() + ": account " + strconv.Quote(string(e.Account)) + " " + e.Message
}

// Is makes AccountError match ErrInvalid in errors.Is.
func (e *AccountError) Is(target error) bool { return target == ErrInvalid }

// Directory holds the accounts of a configuration; it is immutable.
type Directory struct {
	accounts []*Account
	byKey    map[Key]*Account
	byName   map[Name]*Account
}

// NewDirectory returns a directory of the accounts; errors match ErrInvalid and name no key.
func NewDirectory(accounts []*Account) (*Directory, error) {
	d := &Directory{accounts: accounts, byKey: map[Key]*Account{}, byName: map[Name]*Account{}}
	for _, a := range accounts {
		switch {
		case a.Name == "":
			return nil, &AccountError{a.Name, "name", "has no name"}
		case d.byName[a.Name] != nil:
			return nil, &AccountError{a.Name, "name", "is listed twice"}
		case !(a.Limit >= 0):
			return nil, &AccountError{a.Name, "limit", "has a negative limit"}
		case !(a.Burst >= 0):
			return nil, &AccountError{a.Name, "burst", "has a negative burst"}
		}
		d.byName[a.Name] = a
		for i, k := range a.Keys {
			if k == "" {
				return nil, &AccountError{a.Name, "keys", "has an empty key at position " + strconv.Itoa(i+1)}
			}
			if other := d.byKey[k]; other != nil && other != a {
				return nil, &AccountError{a.Name, "keys", "has key " + strconv.Itoa(i+1) + " in common with account " + strconv.Quote(string(other.Name))}
			}
			d.byKey[k] = a
		}
	}
	return d, nil
}

// ByKey returns the account that holds a key.
func (d *Directory) ByKey(k Key) (*Account, bool) {
	a, ok := d.byKey[k]
	return a, ok
}

// ByName returns the account of a name; a nil directory has none.
func (d *Directory) ByName(n Name) (*Account, bool) {
	if d == nil {
		return nil, false
	}
	a, ok := d.byName[n]
	return a, ok
}

// Limited reports whether any account has a limit.
func (d *Directory) Limited() bool {
	return d != nil && slices.ContainsFunc(d.accounts, func(a *Account) bool { return a.Limit > 0 })
}

// Accounts returns all accounts in the order of the configuration.
func (d *Directory) Accounts() []*Account { return d.accounts }

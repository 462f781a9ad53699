package account_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/account"
)

func keys(list ...string) []account.KeyHash {
	var hashes []account.KeyHash
	for _, key := range list {
		hashes = append(hashes, account.HashKey(key))
	}
	return hashes
}

func table(t testing.TB, accounts ...account.Account) *account.Table {
	t.Helper()
	built, err := account.NewTable(accounts)
	qt.New(t).Assert(err, qt.IsNil)
	return built
}

func TestKeyBelongsToItsAccountOnly(t *testing.T) {
	c := qt.New(t)
	accounts := table(t, account.Account{Name: "a", Keys: keys("k1", "k2")}, account.Account{Name: "b", Keys: keys("k3")})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "K1": "", "k": "", "": ""} {
		name := ""
		if a := accounts.Authenticate(key); a != nil {
			name = a.Name
		}
		c.Check(name, qt.Equals, want, qt.Commentf("key %q", key))
	}
}

// Guards against a configuration of which one fault is reported at a time, and against a key
// in the report.
func TestTableReportsAllFaultsWithoutKeys(t *testing.T) {
	c := qt.New(t)
	_, err := account.NewTable([]account.Account{
		{Name: "a", Keys: keys("secret")},
		{Name: "b", Keys: keys("secret", "")},
		{Name: "b", Cap: account.Cap{Rate: -1}},
		{Name: ""},
	})
	for _, want := range []string{
		`accounts \"a\" and \"b\" share a key`, `account \"b\" has an empty key`, `account \"b\" is listed twice`,
		`account \"b\" has a negative rate or burst`, `an account has no name`,
	} {
		c.Check(err, qt.ErrorMatches, "(?s).*"+strings.ReplaceAll(want, `\`, `\\`)+".*")
	}
	c.Assert(strings.Contains(err.Error(), "secret"), qt.IsFalse)
}

func TestHeaderWithoutOneKeyIsRejected(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		values []string
		key    string
		fault  account.Fault
	}{
		{nil, "", account.FaultMissing},
		{[]string{"Bearer k"}, "k", ""},
		{[]string{"bearer  k "}, "k", ""},
		{[]string{"Bearer k", "Bearer k"}, "", account.FaultRepeated},
		{[]string{"Bearer k, Bearer l"}, "", account.FaultMalformed},
		{[]string{"Bearer k l"}, "", account.FaultMalformed},
		{[]string{"Basic k"}, "", account.FaultMalformed},
		{[]string{"k"}, "", account.FaultMalformed},
		{[]string{"Bearer "}, "", account.FaultMalformed},
		{[]string{""}, "", account.FaultMalformed},
		{[]string{"Bearer " + strings.Repeat("k", 64<<10)}, "", account.FaultMalformed},
	} {
		key, fault := account.Key(test.values)
		c.Check(key, qt.Equals, test.key, qt.Commentf("%.40q", test.values))
		c.Check(fault, qt.Equals, test.fault, qt.Commentf("%.40q", test.values))
	}
}

func TestCompareNamesChangedAccounts(t *testing.T) {
	c := qt.New(t)
	before := table(t,
		account.Account{Name: "a", Keys: keys("k1")}, account.Account{Name: "b", Keys: keys("k2")},
		account.Account{Name: "c", Keys: keys("k3", "k4")}, account.Account{Name: "d"})
	after := table(t,
		account.Account{Name: "a", Keys: keys("k5")}, account.Account{Name: "b", Keys: keys("k2"), Cap: account.Cap{Rate: 1}},
		account.Account{Name: "c", Keys: keys("k4", "k3")}, account.Account{Name: "e"})
	got := account.Compare(before, after)
	c.Assert(got, qt.DeepEquals, account.Changes{
		Added: []string{"e"}, Removed: []string{"d"}, Keys: []string{"a"}, Limits: []string{"b"},
	})
	same := account.Compare(before, before)
	c.Assert(same.Empty(), qt.IsTrue)
	c.Assert(account.Compare(nil, after).Added, qt.HasLen, 4)
}

// Guards against a header that is accepted although it has no single key.
func FuzzKey(f *testing.F) {
	for _, seed := range []string{"Bearer k", "Bearer ", "bearer k k", "Basic k", "Bearer \x00", "Bearer k,"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, fault := account.Key([]string{value})
		if (key == "") == (fault == "") {
			t.Fatalf("key %q with fault %q", key, fault)
		}
		if strings.ContainsAny(key, " ,\t\r\n\x00") || !strings.Contains(value, key) {
			t.Fatalf("key %q from %q", key, value)
		}
	})
}

// BenchmarkAuthenticate measures what authentication adds to a request.
func BenchmarkAuthenticate(b *testing.B) {
	var accounts []account.Account
	for i := range 1000 {
		a := account.Account{Name: fmt.Sprintf("a%d", i)}
		for k := range 10 {
			a.Keys = append(a.Keys, account.HashKey(fmt.Sprintf("key-%d-%d-abcdefgh", i, k)))
		}
		accounts = append(accounts, a)
	}
	built := table(b, accounts...)
	header := []string{"Bearer key-500-5-abcdefgh"}
	b.ReportAllocs()
	for b.Loop() {
		key, _ := account.Key(header)
		if built.Authenticate(key) == nil {
			b.Fatal("key is unknown")
		}
	}
}

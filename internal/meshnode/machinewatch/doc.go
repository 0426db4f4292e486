// Package machinewatch tells every node which machines the platform's list shows
// as leaving.
//
// # Protocol
//
// The list is large and lags. So only a few nodes read it: one in each region,
// chosen among the alive members as configlog.IsReader does, and every node
// where there are two or fewer. When one dies, the members that no longer see it
// alive choose the next.
//
// A reader turns the list into a View: the names that are leaving, all of them,
// and the moment as of which the list was true. Whoever learns a newer View with
// other names than before pushes it once, one way, to PushFanout random alive
// members, which do the same. In a cluster of up to PushFanout other members
// that is everybody. A push may be lost and a node may have just started; so
// every ExchangeInterval each node tells one random member the moment and the
// hash of its View, and the older side of the two gets the newer View.
//
// # Invariants
//
//   - A node's View never becomes older. The list is one, so of two Views the one
//     with the later moment is true, whoever read it; a name that is not in it
//     is not leaving, because it is live again or gone from the list.
//   - A list that cannot be read changes nothing: the last View stays.
//
// The moments come from the platform's clock alone; nodes' clocks do not matter.
// Were the platform's clock set back, the last View would stay until the clock
// has caught up.
//
// # What callers may rely on
//
// Leaving is a hint that lags by the list's own lag, Interval, and the time of a
// push. Operators' drain orders and back ends' own reports do not pass here.
package machinewatch

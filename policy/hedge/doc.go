// Package hedge decides when an additional attempt for a subrequest is worth its load. It
// holds the recent latency quantiles of the service, the budget for extra subrequests,
// and the rule for the age from which an outstanding subrequest may be hedged.
//
// Nothing in the package is safe for concurrent use.
package hedge

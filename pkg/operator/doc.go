// Package operator holds the configuration that operators publish in a metadata
// store for a fleet: routes by host and path prefix, services, customers with their
// API keys and rate limits, and limits on the size and duration of callers' requests.
// Backend servers are not part of it; see the package fleet. For configuration that
// operators sign, see the package platform.
//
// A Builder collects the content of one version. Build validates it as a whole
// and returns an immutable Config, or all validation errors at once; a version is
// never applied in part. A Config is safe for concurrent use, a Builder is not.
//
// A Draft checks a version before it is published, also for entries that have no effect, and
// compares it with another one.
package operator

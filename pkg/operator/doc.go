// Package operator holds the configuration that operators set for a fleet:
// routes by host and path prefix, services, customers with their keys and rate
// limits, and limits on the size and duration of callers' requests.
//
// A Builder collects the content of one version. Build validates it as a whole
// and returns an immutable Config, or all validation errors at once; a version is
// never applied in part.
package operator

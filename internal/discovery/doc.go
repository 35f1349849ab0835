// Package discovery watches the discovery service with long polls. The service
// reports changes of the endpoint list, and purges, as events with revision
// numbers. A Watcher holds the revision of the last event and the endpoint list of
// the service. Only this package (update.go) maps the field names of the service's
// protocol to the router's terms.
package discovery

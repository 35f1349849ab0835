// Package discovery follows the discovery service by long polls: changes of the
// endpoint list and purges, as events with revision numbers. A Watcher owns how
// far the events were followed and the endpoint list as the service has it. The
// service's themed field names are mapped here (update.go) and nowhere else.
package discovery

// Package route chooses an upstream for each attempt. It uses load reports, which lag behind, and corrects them by the attempts that this host has in flight.
package route

// Package route chooses an upstream for each attempt. It uses load reports, which lag behind the actual load, and corrects them with the number of attempts that this host has in flight.
package route

// Command standin-2 plays the cases of the second review: it starts entry daemons as separate processes, with stand-ins for the platform's store, its servers and its clients, brings about one disruption and checks one rule.
package main

// Package vital finds out whether the process at an address has outlived a connection that it ended. The kernel ends the connections of a process that dies as the process itself would, so the end of a connection alone does not show that the process had sent all it wanted to send.
package vital

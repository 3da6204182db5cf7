// Package lease decides who alone may give orders, by a row in the table service with a fencing number.
package lease

// Package place knows in which regions failure domains are, and which regions a request may use.
package place

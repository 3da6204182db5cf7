// Package front serves callers: it checks a request, admits it, claims it where needed, runs it and answers.
package front

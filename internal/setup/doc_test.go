package setup

import (
	"os"
	"testing"
)

func TestTheReferencePageIsInStep(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Reference() {
		t.Error("docs/SETTINGS.md is out of step: go run ./cmd/cornelwingd -reference > docs/SETTINGS.md")
	}
}

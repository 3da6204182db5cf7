package setup

import (
	"os"
	"testing"
)

func TestSettingsPageMatchesReference(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Reference() {
		t.Error("docs/SETTINGS.md differs from Reference(); update it: go run ./cmd/cornelwingd -reference > docs/SETTINGS.md")
	}
}

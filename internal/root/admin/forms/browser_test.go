package forms

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
	"github.com/chromedp/chromedp/kb"
)

// TestEditAccountByKeyboardInChromium edits an account in headless Chromium with the keyboard alone.
// Without Chromium the test is skipped and reported as not run.
func TestEditAccountByKeyboardInChromium(t *testing.T) {
	path, err := exec.LookPath("chromium")
	if err != nil {
		t.Skip("NOT RUN: no chromium on this machine")
	}
	revisions, base := startConsole(t)
	opts := append(chromedp.DefaultExecAllocatorOptions[:],
		chromedp.ExecPath(path),
		chromedp.NoSandbox,
		chromedp.DisableGPU,
		chromedp.Flag("disable-quic", true),
		chromedp.Flag("disable-background-networking", true),
		chromedp.Flag("disable-component-update", true),
		chromedp.Flag("disable-sync", true),
		chromedp.UserDataDir(t.TempDir()),
	)
	alloc, cancel := chromedp.NewExecAllocator(context.Background(), opts...)
	defer cancel()
	ctx, cancel := chromedp.NewContext(alloc)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()

	do := func(steps ...chromedp.Action[chromedp.Void]) {
		t.Helper()
		for i, step := range steps {
			if err := chromedp.Do(ctx, step); err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
		}
	}
	screenshot := func(name string) {
		t.Helper()
		data, err := chromedp.Run(ctx, chromedp.FullScreenshot(100))
		if err != nil {
			t.Fatal(err)
		}
		if dir := os.Getenv("SCREENSHOTS"); dir != "" {
			if err := os.WriteFile(dir+"/"+name+".png", data, 0o600); err != nil {
				t.Error(err)
			}
		}
	}
	do(
		chromedp.Navigate(base+"/console/login"),
		chromedp.SendKeys(chromedp.CSS("#token"), "approver"+kb.Enter),
		chromedp.WaitVisible(chromedp.CSS("nav")),
		chromedp.Navigate(base+"/console/document"),
		chromedp.WaitVisible(chromedp.CSS("table")),
	)
	screenshot("document")
	do(
		chromedp.Navigate(base+"/console/edit/accounts?name=ring"),
		chromedp.WaitVisible(chromedp.CSS("#weight")),
		chromedp.SendKeys(chromedp.CSS("#weight"), kb.End+kb.Backspace+"0"+kb.Enter),
		chromedp.WaitVisible(chromedp.CSS(".fault")),
	)
	screenshot("form")
	do(
		chromedp.SendKeys(chromedp.CSS("#weight"), kb.End+kb.Backspace+"7"+kb.Enter),
		chromedp.WaitVisible(chromedp.CSS("pre")),
	)
	screenshot("difference")
	difference, err := chromedp.Run(ctx, chromedp.Text(chromedp.CSS("pre")))
	if err != nil {
		t.Fatal(err)
	}
	do(
		chromedp.SendKeys(chromedp.CSS("main form button"), kb.Enter),
		chromedp.WaitNotPresent(chromedp.CSS("pre")),
	)
	if !strings.Contains(difference, "weight: 7") {
		t.Errorf("difference on the page is %q, want weight: 7 in it", difference)
	}
	rev, err := revisions.Newest(context.Background())
	if err != nil || rev.Number != 2 || rev.Document.Accounts[0].Weight != 7 {
		t.Errorf("revision %d, weight %d, error %v; want revision 2, weight 7", rev.Number, rev.Document.Accounts[0].Weight, err)
	}
}

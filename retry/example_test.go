package retry_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/retry"
)

// An order is sent, its response is lost, and the caller retries it.
func Example() {
	issuer, err := retry.NewIssuer("entry-1", "7f3a", []byte("16 random bytes or more"))
	if err != nil {
		fmt.Println(err)
		return
	}
	ledger := retry.NewLedger(retry.LedgerConfig{})
	text := issuer.ID(ledger.Issue(0), "ana").String()

	now := time.Second
	id, _ := retry.ParseID(text)
	fmt.Println(issuer.Verify(id, "ana") == retry.OriginLocal, ledger.Begin(now, id.Sequence) == retry.AdmissionGranted)

	lost := retry.Attempt{AnyByteSent: true}
	fmt.Println(lost.Outcome(), lost.Retryable())
	ledger.Finish(now, id.Sequence, lost.Outcome())

	again := ledger.Begin(now, id.Sequence).Error()
	fmt.Println(again.Status(), again.Code, again.Outcome)
	// Output:
	// true true
	// may_have_run false
	// 409 already_done may_have_run
}

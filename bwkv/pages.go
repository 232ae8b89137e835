package bwkv

import (
	"context"
	"time"

	"basilwood.example/basilwood/bwclock"
)

const (
	// maxPageAttempts is the maximum number of attempts to read a page after the first.
	maxPageAttempts = 4
	pageRetryDelay  = 100 * time.Millisecond
)

// Page is one page of a list.
type Page struct {
	Items []Item
	// Revision is the revision of the service when the page was read.
	Revision int64
	// HasMore is set if there may be more items after the last one of the page.
	HasMore bool
}

// ListPages returns the items of all pages. fetch returns the page after a key; an empty key
// stands for the first page. A page that cannot be read is read again, so that a list of many
// pages is completed although the service refuses some calls. The first page is tried only
// once: its error tells the caller at once that the service is away.
//
// The pages are not one snapshot. ListPages returns the revision of the first page; a watch
// from there delivers the changes that were made while the others were read.
func ListPages(ctx context.Context, fetch func(ctx context.Context, after string) (Page, error)) ([]Item, int64, error) {
	page, err := fetch(ctx, "")
	if err != nil {
		return nil, 0, err
	}
	items, revision := page.Items, page.Revision
	for page.HasMore && len(page.Items) > 0 {
		page, err = fetchWithRetry(ctx, page.Items[len(page.Items)-1].Key, fetch)
		if err != nil {
			return nil, 0, err
		}
		items = append(items, page.Items...)
	}
	return items, revision, nil
}

func fetchWithRetry(ctx context.Context, after string, fetch func(ctx context.Context, after string) (Page, error)) (page Page, err error) {
	err = RetryPage(ctx, func() error {
		page, err = fetch(ctx, after)
		return err
	})
	return page, err
}

// RetryPage calls fetch, which reads one page of a list, until it succeeds, has failed
// maxPageAttempts times or ctx is done. It returns the last error.
func RetryPage(ctx context.Context, fetch func() error) error {
	for attempt := 1; ; attempt++ {
		err := fetch()
		if err == nil || attempt == maxPageAttempts || !bwclock.Sleep(ctx, pageRetryDelay) {
			return err
		}
	}
}

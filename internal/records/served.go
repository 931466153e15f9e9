package records

import (
	"fmt"
	"strings"
)

const (
	soundLeast   = 50 // requests to a sidecar below which its share says nothing
	storiesAtAll = 5  // that a break tells
)

// unserved looks for sidecars that serve less than the share of their requests in time, of those that came while endpoints, links and
// cores were sound from when they were due until their time was over.
func (b *Book) unserved() (broken []Broken) {
	if b.SoundShare <= 0 {
		return nil
	}
	asked, missed := map[int]int{}, map[int][]*Exchange{}
	for _, x := range b.order {
		until := x.At + b.Products[x.Product].Abandon
		if x.Left > 0 || x.Excused != "" || !b.Sound(x.Sidecar, x.At, until) || b.lateBetween(x.At, max(until, x.Ended)) > 0 {
			continue
		}
		asked[x.Sidecar]++
		if !x.satisfiedAtAll || x.Ended-x.At > b.Products[x.Product].Expected {
			missed[x.Sidecar] = append(missed[x.Sidecar], x)
		}
	}
	for sidecar, all := range asked {
		if many := len(missed[sidecar]); all >= soundLeast && float64(many) > (1-b.SoundShare)*float64(all) {
			broken = append(broken, Broken{Served, missed[sidecar][0].ID, fmt.Sprintf("s%d served %d of %d in time, the first that were not:\n%s",
				sidecar, all-many, all, b.stories(missed[sidecar]))})
		}
	}
	return broken
}

func (b *Book) stories(all []*Exchange) string {
	var text []string
	for _, x := range all[:min(len(all), storiesAtAll)] {
		text = append(text, b.story(x))
	}
	return strings.Join(text, "\n")
}

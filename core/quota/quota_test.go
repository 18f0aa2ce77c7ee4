package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestPartsAddUpToOne checks that instances with the same announcements divide a limit without a
// remainder, and that none is left without a part.
func TestPartsAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var announcements []event.InstanceDemand
		var ids []model.InstanceID
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			id := model.InstanceID(fmt.Sprintf("i%d", i))
			ids = append(ids, id)
			announcements = append(announcements, event.InstanceDemand{
				Instance: id, Incarnation: 1, DataCentre: fmt.Sprintf("dc%d", rapid.IntRange(0, 3).Draw(t, "data centre")),
				Routes: map[string]float64{"r": rapid.Float64Range(0, 1000).Draw(t, "r"), "other": 5},
			})
		}
		var sum float64
		for _, own := range announcements {
			d := NewDemand(own.Instance)
			d.SetLive(start, ids, 0)
			d.Announce(start, own)
			for _, a := range announcements {
				d.Apply(start, a)
			}
			part := d.Part("g", "dc0", own.DataCentre, func(route string) float64 {
				if route == "r" {
					return 0.5
				}
				return 0
			})
			if part <= 0 {
				t.Fatalf("part of %s: got %g, want more than zero", own.Instance, part)
			}
			sum += part
		}
		if math.Abs(sum-1) > 1e-6 {
			t.Fatalf("sum of the parts: got %g, want 1", sum)
		}
	})
}

// TestUnknownInstancesKeepTheirPart checks that instances that have announced nothing, or were
// live lately, are not left out of the division.
func TestUnknownInstancesKeepTheirPart(t *testing.T) {
	d := NewDemand("a")
	d.SetLive(start, []model.InstanceID{"a", "b", "c", "d"}, 0)
	weight := func(string) float64 { return 1 }
	d.Announce(start, event.InstanceDemand{Instance: "a", DataCentre: "dc0", Routes: map[string]float64{"r": 10}})
	if got, want := d.Part("g", "dc0", "dc0", weight), 0.25; math.Abs(got-want) > 1e-9 {
		t.Errorf("part of one of four instances: got %g, want %g", got, want)
	}
	d.SetLive(start.Add(demandTTL), []model.InstanceID{"a"}, 0)
	d.Announce(start.Add(demandTTL), event.InstanceDemand{Instance: "a", DataCentre: "dc0", Routes: map[string]float64{"r": 10}})
	if got, want := d.Part("g", "dc0", "dc0", weight), 0.25; math.Abs(got-want) > 1e-9 {
		t.Errorf("part after the others became unreachable: got %g, want %g", got, want)
	}
	d.Forget("b")
	if got, want := d.Part("g", "dc0", "dc0", weight), 1.0/3; math.Abs(got-want) > 1e-9 {
		t.Errorf("part after one has left: got %g, want %g", got, want)
	}
	d.SetLive(start.Add(demandTTL+time.Second), []model.InstanceID{"a"}, 0)
	if got, want := d.Part("g", "dc0", "dc0", weight), 1.0; math.Abs(got-want) > 1e-9 {
		t.Errorf("part after the others were away for %s: got %g, want %g", demandTTL, got, want)
	}
}

// TestBucketsSaveUpLittle checks that the buckets of many instances, all idle before, don't yield
// more than one and a half times a limit, and five requests, in any four seconds.
func TestBucketsSaveUpLittle(t *testing.T) {
	for _, instances := range []int{1, 4, 30, 118, 1000} {
		for _, perSecond := range []float64{1, 5, 31, 500} {
			r := rand.New(rand.NewPCG(1, uint64(instances)))
			limits := make([]Limit, instances)
			for i := range limits {
				limits[i].HandleReply(start, start, event.RateLimit{Named: true, PerSecond: perSecond})
			}
			part := 1 / float64(instances)
			var sent []time.Time
			for step := range 200 {
				now := start.Add(10*time.Second + time.Duration(step)*50*time.Millisecond)
				for i := range limits {
					for limits[i].Wait(now, part, r) == 0 {
						limits[i].RecordSent()
						sent = append(sent, now)
					}
				}
			}
			worst, first := 0, 0
			for i := range sent {
				for sent[i].Sub(sent[first]) >= 4*time.Second {
					first++
				}
				worst = max(worst, i-first+1)
			}
			if want := int(6*perSecond) + 5; worst > want {
				t.Errorf("%d instances, %g a second: got %d requests in 4s, want at most %d", instances, perSecond, worst, want)
			}
			if got, want := float64(len(sent)), 10*perSecond/2; perSecond > 1 && got < want {
				t.Errorf("%d instances, %g a second: got %g requests in 10s, want at least %g", instances, perSecond, got, want)
			}
		}
	}
}

// TestLateReplyDoesNotEndLimit checks that a reply without a limit ends one only if its request
// was sent after the limit was last seen, and that an older report of a peer doesn't bring an
// ended limit back.
func TestLateReplyDoesNotEndLimit(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l Limit
	l.HandleReply(at(100), at(90), event.RateLimit{Named: true, PerSecond: 10})
	if l.HandleReply(at(110), at(80), event.RateLimit{}); !l.Active {
		t.Errorf("after a late reply without a limit: got no limit, want one")
	}
	if l.HandleReply(at(130), at(120), event.RateLimit{}); l.Active {
		t.Errorf("after a reply without a limit: got a limit, want none")
	}
	if changed := l.HandleReport(at(200), at(110), true, 10); changed || l.Active {
		t.Errorf("after an older report of a peer: got a limit, want none")
	}
	if changed := l.HandleReport(at(200), at(150), true, 12); !changed || !l.Active || l.PerSecond != 12 {
		t.Errorf("after a newer report of a peer: got %+v, want a limit of 12", l)
	}
}

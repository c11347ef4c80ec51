package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/schema"
)

// Encode returns the message in which routers send each other a change. It is sent at now.
func Encode(now time.Time, c Change) *schema.UpstreamChange {
	u := c.Upstream
	out := &schema.UpstreamChange{
		Id: string(u.ID), Service: string(u.Service), Address: u.Address, DataCenter: string(u.DataCenter),
		Slots: uint32(u.Slots), Life: int64(u.StartTime), Draining: u.Draining, Gone: c.Removed, Revision: c.Revision.Number(),
		ColdMs: schema.Millis(max(u.ColdUntil.Sub(now), 0)), SoftwareVersion: string(u.Software), Era: proto.Uint32(uint32(c.Revision.Era())),
	}
	if !c.ReadAt.IsZero() {
		out.AgeMs = proto.Uint32(schema.Millis(now.Sub(c.ReadAt)))
	}
	return out
}

// Decode is the inverse of Encode, for a message that is received at now.
func Decode(now time.Time, in *schema.UpstreamChange) Change { return DecodeWithin(now, in, 0) }

// DecodeWithin is Decode for a message of an older build, which tells no era: its changes are taken as being of the given one.
func DecodeWithin(now time.Time, in *schema.UpstreamChange, era Era) Change {
	change := Change{
		Upstream: Upstream{
			ID: fleet.UpstreamID(in.GetId()), Service: fleet.ServiceID(in.GetService()), Address: in.GetAddress(),
			DataCenter: fleet.DataCenterID(in.GetDataCenter()), Slots: int(in.GetSlots()), StartTime: StartTime(in.GetLife()),
			Draining: in.GetDraining(), Software: fleet.SoftwareVersion(in.GetSoftwareVersion()),
		},
		Removed: in.GetGone(), Revision: DecodeRevision(in.Era, in.GetRevision(), era),
	}
	if in.GetColdMs() > 0 {
		change.Upstream.ColdUntil = now.Add(schema.Duration(in.GetColdMs()))
	}
	if in.AgeMs != nil {
		change.ReadAt = now.Add(-schema.Duration(in.GetAgeMs()))
	}
	return change
}

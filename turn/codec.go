package turn

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
)

// EncodeInstance returns the wire form of an instance.
func EncodeInstance(i Instance) *schema.UpstreamLife {
	return &schema.UpstreamLife{Id: string(i.ID), Life: int64(i.StartTime)}
}

// DecodeInstance is the inverse of EncodeInstance.
func DecodeInstance(in *schema.UpstreamLife) Instance {
	return Instance{ID: fleet.UpstreamID(in.GetId()), StartTime: registry.StartTime(in.GetLife())}
}

package deployment

import (
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
)

// encodeConfiguration converts a configuration to the message that routers send each other.
func encodeConfiguration(c route.Configuration) *schema.Configuration {
	out := &schema.Configuration{
		Version: uint64(c.Version), MaxHeaderBytes: uint32(c.Limits.MaxHeaderBytes), MaxBodyBytes: uint32(c.Limits.MaxBodyBytes),
		HeaderTimeoutMs: schema.Millis(c.Limits.HeaderTimeout), IdleTimeoutMs: schema.Millis(c.Limits.IdleTimeout),
		Revision: c.Revision.Number(), Era: uint32(c.Revision.Era()),
	}
	for i := range c.Routes {
		out.Routes = append(out.Routes, encodeRoute(&c.Routes[i]))
	}
	for _, s := range c.Services {
		out.Services = append(out.Services, &schema.RoutedService{
			Id: string(s.ID), MaxConnections: uint32(s.MaxConnections), Slots: uint32(s.Slots), CacheTokens: uint32(s.CacheTokens),
			ColdMs: schema.Millis(s.ColdDuration), ColdRate: s.ColdRate, TokenBytes: uint32(s.TokenBytes), LinkMbps: s.LinkMbps,
		})
	}
	for _, a := range c.Accounts {
		out.Accounts = append(out.Accounts, &schema.RoutedAccount{Id: string(a.ID), Keys: a.Keys, Regions: encodeRegions(a.Regions)})
	}
	return out
}

func encodeRoute(r *route.Route) *schema.Route {
	out := &schema.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind),
		TimeoutMs: schema.Millis(r.Timeout), TargetMs: schema.Millis(r.LatencyTarget), MaxPauseMs: schema.Millis(r.MaxPause),
		Attempts: uint32(r.MaxAttempts), Public: r.Public, Resumable: r.Resumable, Cached: r.PromptCaching,
		Regions: encodeRegions(r.Regions),
	}
	for _, s := range r.Shares {
		out.Shares = append(out.Shares, &schema.RouteShare{Service: string(s.Service), Weight: uint32(s.Weight)})
	}
	return out
}

// decodeConfiguration is the inverse of encodeConfiguration.
func decodeConfiguration(in *schema.Configuration) route.Configuration {
	out := route.Configuration{
		Version: fleet.Version(in.GetVersion()), Revision: registry.NewRevision(registry.Era(in.GetEra()), in.GetRevision()),
		Limits: route.Limits{
			MaxHeaderBytes: int(in.GetMaxHeaderBytes()), MaxBodyBytes: int(in.GetMaxBodyBytes()),
			HeaderTimeout: schema.Duration(in.GetHeaderTimeoutMs()), IdleTimeout: schema.Duration(in.GetIdleTimeoutMs()),
		},
	}
	for _, r := range in.GetRoutes() {
		out.Routes = append(out.Routes, decodeRoute(r))
	}
	for _, s := range in.GetServices() {
		out.Services = append(out.Services, route.Service{
			ID: fleet.ServiceID(s.GetId()), MaxConnections: int(s.GetMaxConnections()), Slots: int(s.GetSlots()), CacheTokens: int(s.GetCacheTokens()),
			ColdDuration: schema.Duration(s.GetColdMs()), ColdRate: s.GetColdRate(),
			TokenBytes: int(s.GetTokenBytes()), LinkMbps: s.GetLinkMbps(),
		})
	}
	for _, a := range in.GetAccounts() {
		out.Accounts = append(out.Accounts, route.Account{ID: fleet.AccountID(a.GetId()), Keys: a.GetKeys(), Regions: decodeRegions(a.GetRegions())})
	}
	return out
}

func decodeRoute(in *schema.Route) route.Route {
	out := route.Route{
		Name: in.GetName(), Host: in.GetHost(), Prefix: in.GetPrefix(), Kind: route.Kind(in.GetKind()),
		Timeout: schema.Duration(in.GetTimeoutMs()), LatencyTarget: schema.Duration(in.GetTargetMs()), MaxPause: schema.Duration(in.GetMaxPauseMs()),
		MaxAttempts: int(in.GetAttempts()), Public: in.GetPublic(), Resumable: in.GetResumable(), PromptCaching: in.GetCached(),
		Regions: decodeRegions(in.GetRegions()),
	}
	for _, s := range in.GetShares() {
		out.Shares = append(out.Shares, route.Share{Service: fleet.ServiceID(s.GetService()), Weight: int(s.GetWeight())})
	}
	return out
}

func encodeRegions(regions route.Regions) []string {
	var out []string
	for _, region := range regions {
		out = append(out, string(region))
	}
	return out
}

func decodeRegions(in []string) route.Regions {
	var out route.Regions
	for _, region := range in {
		out = append(out, fleet.RegionID(region))
	}
	return out
}

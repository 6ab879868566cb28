package main

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/pause"
)

// trafficInterval is the time between two log lines with the number of bytes sent.
const trafficInterval = time.Minute

// isInOwnZone reports whether the process at an address is in this node's zone.
func (n *node) isInOwnZone(address netip.AddrPort) bool {
	return n.members.Table().InZone(address, n.settings.Zone)
}

// reportTraffic periodically logs how much this process has sent to other processes of the system, until ctx ends.
func (n *node) reportTraffic(ctx context.Context) {
	pause.Every(ctx, trafficInterval, nil, n.logTraffic)
}

// logTraffic logs the number of bytes sent since the start, by package and by whether they left the zone.
func (n *node) logTraffic() {
	var fields []zap.Field
	for _, sent := range n.transport.SentByPackage() {
		fields = append(fields, zap.Uint64(sent.Package+"Zone", sent.SameZone), zap.Uint64(sent.Package+"Far", sent.OtherZones))
	}
	n.log.Info("bytes sent", fields...)
}

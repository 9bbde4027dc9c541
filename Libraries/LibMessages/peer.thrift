include "membership.thrift"
include "placement.thrift"
include "distribution.thrift"
include "load.thrift"

namespace cpp Chicorytally.Messages

union PeerMessage {
    1: membership.MembershipMessage membership,
    2: placement.PlacementMessage placement,
    3: distribution.DistributionMessage distribution,
    4: load.LoadMessage load,
}

/// Content of one datagram. A 16-byte authentication tag over the encoded envelope follows it.
struct Envelope {
    1: required i32 protocolVersion,
    2: required i64 sender,
    3: required i64 incarnation,
    4: required i64 sequence,
    5: required list<PeerMessage> messages,
}

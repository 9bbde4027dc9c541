namespace cpp Chicorytally.Messages

/// Identifiers are the unsigned 64-bit ids of LibCore, stored as i64 since Thrift has no unsigned types.

enum MemberState {
    Alive = 1,
    Suspect = 2,
    /// The suspicion timeout has expired.
    Dead = 3,
    Leaving = 4,
}

struct MemberUpdate {
    1: required i64 vm,
    2: required i64 incarnation,
    3: required MemberState state,
    /// Availability zone of the member.
    4: optional i64 zone,
    /// 16 bytes; IPv4 addresses as IPv4-mapped IPv6 addresses.
    5: optional binary address,
    6: optional i32 port,
    /// Newest configuration revision in force at the member.
    7: optional i64 revision,
    /// Number of suspicions that the member has refuted in this incarnation.
    8: optional i32 refutation,
    /// Set for a dead member that left gracefully or whose VM the platform no longer lists.
    9: optional bool confirmed,
    /// Port for peer hops, at the same address.
    10: optional i32 dataPort,
}

struct Ping {
    1: required i64 sequence,
    2: optional list<MemberUpdate> updates,
    /// The member that requested this ping with a PingRequest; absent in a direct ping.
    3: optional i64 onBehalfOf,
    /// Configuration revision in force at the sender.
    4: optional i64 revision,
    /// Hash of the sender's member list; a difference that persists starts a synchronisation.
    5: optional i64 viewDigest,
}

struct Ack {
    1: required i64 sequence,
    2: optional list<MemberUpdate> updates,
    /// In a reply to a PingRequest: the member that was probed.
    3: optional i64 onBehalfOf,
    4: optional i64 revision,
    5: optional i64 viewDigest,
    /// The incarnation under which the sender knows the receiver as a member.
    6: optional i64 confirmedIncarnation,
    /// The sender doesn't know the receiver and needs its MemberUpdate.
    7: optional bool isReceiverUnknown,
}

struct PingRequest {
    1: required i64 sequence,
    2: required i64 target,
    3: optional list<MemberUpdate> updates,
}

/// Requests a page of the receiver's member list.
struct SyncRequest {
    /// Only members with a greater id are returned, compared as unsigned numbers; 0 requests the first page.
    1: required i64 afterVm,
    /// 32 digests of 4 bytes, one per group of members: only members of groups whose digest differs are returned. If
    /// absent, all members are returned.
    2: optional binary groupDigests,
}

struct SyncReply {
    1: required list<MemberUpdate> updates,
    /// The afterVm of the request for the next page; absent on the last page.
    2: optional i64 nextAfterVm,
}

union MembershipMessage {
    1: Ping ping,
    2: Ack ack,
    3: PingRequest pingRequest,
    4: SyncRequest syncRequest,
    5: SyncReply syncReply,
}

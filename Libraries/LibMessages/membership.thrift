namespace cpp Chicorytally.Messages

/// Identifiers are the 64-bit values of LibCore's ids; thrift has no unsigned types.

enum MemberState {
    Alive = 1,
    Suspect = 2,
    /// The suspicion timeout passed.
    Dead = 3,
    Leaving = 4,
}

struct MemberUpdate {
    1: required i64 vm,
    2: required i64 incarnation,
    3: required MemberState state,
    /// Availability zone of the member.
    4: optional i64 zone,
    /// 16 bytes, IPv4 in its mapped form.
    5: optional binary address,
    6: optional i32 port,
    /// Newest configuration revision in force at the member.
    7: optional i64 revision,
    /// How many suspicions the member has refuted in this incarnation.
    8: optional i32 refutation,
    /// Set for a dead member that left gracefully or whose VM the platform no longer lists.
    9: optional bool confirmed,
    /// Port at the same address that receives peer hops.
    10: optional i32 dataPort,
}

struct Ping {
    1: required i64 sequence,
    2: optional list<MemberUpdate> updates,
    /// Set when a third member asked for this ping.
    3: optional i64 onBehalfOf,
    /// Configuration revision in force at the sender.
    4: optional i64 revision,
    /// Hash over the sender's list of members; a lasting difference starts a synchronisation.
    5: optional i64 viewDigest,
}

struct Ack {
    1: required i64 sequence,
    2: optional list<MemberUpdate> updates,
    /// In an answer to a PingRequest: the member that was probed.
    3: optional i64 onBehalfOf,
    4: optional i64 revision,
    5: optional i64 viewDigest,
    /// The incarnation under which the sender knows the receiver as a member.
    6: optional i64 confirmedIncarnation,
    /// The sender needs the receiver's own update.
    7: optional bool isReceiverUnknown,
}

struct PingRequest {
    1: required i64 sequence,
    2: required i64 target,
    3: optional list<MemberUpdate> updates,
}

/// Asks for a page of the receiver's members.
struct SyncRequest {
    /// Only members with a greater id (as unsigned numbers) are returned; 0 for the first page.
    1: required i64 afterVm,
    /// 32 groups of 4 bytes: only members of groups whose digest differs are returned. Absent: all.
    2: optional binary groupDigests,
}

struct SyncReply {
    1: required list<MemberUpdate> updates,
    /// Where the next page begins; absent on the last page.
    2: optional i64 nextAfterVm,
}

union MembershipMessage {
    1: Ping ping,
    2: Ack ack,
    3: PingRequest pingRequest,
    4: SyncRequest syncRequest,
    5: SyncReply syncReply,
}

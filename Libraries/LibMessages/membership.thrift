namespace cpp Chicorytally.Messages

/// Identifiers are the 64-bit values of LibCore's ids; thrift has no unsigned types.

enum MemberState {
    Alive = 1,
    Suspect = 2,
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
}

struct Ping {
    1: required i64 sequence,
    2: optional list<MemberUpdate> updates,
    /// Set when a third member asked for this ping.
    3: optional i64 onBehalfOf,
}

struct Ack {
    1: required i64 sequence,
    2: optional list<MemberUpdate> updates,
    3: optional i64 onBehalfOf,
}

struct PingRequest {
    1: required i64 sequence,
    2: required i64 target,
    3: optional list<MemberUpdate> updates,
}

union MembershipMessage {
    1: Ping ping,
    2: Ack ack,
    3: PingRequest pingRequest,
}

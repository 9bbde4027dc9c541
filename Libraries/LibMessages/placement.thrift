namespace cpp Chicorytally.Messages

/// An upstream that the entries of the same message refer to by index. The address is present when the upstream is no
/// longer configured, so that balancers that joined later can still reach it.
struct UpstreamReference {
    1: required i64 id,
    2: optional binary address,
    3: optional i32 port,
    4: optional i64 zoneId,
}

/// State of one bucket as decided by its owner. The entry with the greatest epoch takes effect.
struct BucketEntry {
    1: required i32 bucket,
    2: required i64 epoch,
    /// Index into the message's upstreams, or -1 for no upstream.
    3: required i32 baseline,
    4: optional bool tracked,
    /// The owner assigns no new flows to the baseline upstream.
    5: optional bool baselineClosed,
}

/// State of buckets, sent by their owner, for example when it starts or ends tracking them. Retransmitted until
/// acknowledged.
struct BucketNotice {
    1: required i64 serviceId,
    2: required i64 sequence,
    3: required list<UpstreamReference> upstreams,
    4: required list<BucketEntry> entries,
    /// Informs an owner of entries with a greater epoch; not acknowledged.
    5: optional bool correction,
}

struct FlowRecordCopy {
    /// Low half of the keyed flow hash; the bucket is derived from the high half.
    1: required i64 flow,
    2: required i32 bucket,
    3: required i32 upstream,
    /// Time since the flow was opened. A duration, since the clocks of two VMs are not comparable.
    4: optional i32 ageMilliseconds,
    5: optional bool removed,
}

/// Copies of flow records for the backup or the next owner. Retransmitted until acknowledged.
struct RecordBatch {
    1: required i64 serviceId,
    2: required i64 sequence,
    3: required list<UpstreamReference> upstreams,
    4: required list<FlowRecordCopy> records,
}

/// Asks the other balancers for the owners of the groups before the sender takes ownership.
struct GroupClaim {
    1: required i64 serviceId,
    2: required list<i32> groups,
}

struct GroupClaimReply {
    1: required i64 serviceId,
    /// The groups of the GroupClaim.
    2: required list<i32> groups,
    /// Groups for which the sender of the reply acts as owner.
    3: required list<i32> activeGroups,
    /// Groups for which the sender of the reply is a synchronised backup.
    4: required list<i32> backupGroups,
    5: required list<UpstreamReference> upstreams,
    6: required list<BucketEntry> entries,
}

enum GroupOrderKind {
    /// The receiver is the backup and holds all records of flows that differ from their bucket's baseline.
    BackupSynchronised = 1,
    /// The receiver is no longer the backup.
    BackupReleased = 2,
    /// The receiver becomes the owner; the sender no longer assigns new flows.
    Activate = 3,
    /// The receiver, a synchronised backup of a lost owner, becomes the owner and hands the groups over to the sender.
    Grant = 4,
}

/// Changes the receiver's role for groups. Retransmitted until acknowledged.
struct GroupOrder {
    1: required i64 serviceId,
    2: required i64 sequence,
    3: required GroupOrderKind kind,
    4: required list<i32> groups,
}

struct PlacementAcknowledgement {
    1: required list<i64> sequences,
}

/// Asks every owner to resend the state of its buckets.
struct BucketStateRequest {
    1: optional i64 serviceId,
}

union PlacementMessage {
    1: BucketNotice bucketNotice,
    2: RecordBatch recordBatch,
    3: GroupClaim groupClaim,
    4: GroupClaimReply groupClaimReply,
    5: GroupOrder groupOrder,
    6: PlacementAcknowledgement acknowledgement,
    7: BucketStateRequest bucketStateRequest,
}

namespace cpp Chicorytally.Messages

/// An upstream that entries of the same message name by their index. The address is present when the upstream is no
/// longer configured, so that a newcomer can still reach it.
struct UpstreamReference {
    1: required i64 id,
    2: optional binary address,
    3: optional i32 port,
    4: optional i64 zoneId,
}

/// State of one bucket as its owner decided it. The entry with the greatest epoch is in force.
struct BucketEntry {
    1: required i32 bucket,
    2: required i64 epoch,
    /// Index into the message's upstreams; -1: no upstream.
    3: required i32 baseline,
    4: optional bool tracked,
    /// The owner places no new flows on the baseline.
    5: optional bool baselineClosed,
}

/// Track and settle notice of a bucket owner. Acknowledged, repeated until then.
struct BucketNotice {
    1: required i64 serviceId,
    2: required i64 sequence,
    3: required list<UpstreamReference> upstreams,
    4: required list<BucketEntry> entries,
    /// Tells an owner of newer entries; not acknowledged.
    5: optional bool correction,
}

struct FlowRecordCopy {
    /// Low half of the keyed flow hash; the bucket comes from the high half.
    1: required i64 flow,
    2: required i32 bucket,
    3: required i32 upstream,
    /// Time since the flow was opened; clocks of two VMs are not compared.
    4: optional i32 ageMilliseconds,
    5: optional bool removed,
}

/// Copies of flow records for the backup or the next owner. Acknowledged, repeated until then.
struct RecordBatch {
    1: required i64 serviceId,
    2: required i64 sequence,
    3: required list<UpstreamReference> upstreams,
    4: required list<FlowRecordCopy> records,
}

/// Asks who owns the groups before the sender becomes their owner.
struct GroupClaim {
    1: required i64 serviceId,
    2: required list<i32> groups,
}

struct GroupClaimReply {
    1: required i64 serviceId,
    /// The groups of the claim.
    2: required list<i32> groups,
    /// Those of which the replier is the owner.
    3: required list<i32> activeGroups,
    /// Those of which the replier is the synchronised backup.
    4: required list<i32> backupGroups,
    5: required list<UpstreamReference> upstreams,
    6: required list<BucketEntry> entries,
}

enum GroupOrderKind {
    /// The receiver holds all differing records and is the backup.
    BackupSynchronised = 1,
    /// The receiver is no longer the backup.
    BackupReleased = 2,
    /// The receiver becomes the owner; the sender no longer decides opens.
    Activate = 3,
    /// The receiver, a synchronised backup of a lost owner, becomes owner and hands over to the sender.
    Grant = 4,
}

/// Acknowledged, repeated until then.
struct GroupOrder {
    1: required i64 serviceId,
    2: required i64 sequence,
    3: required GroupOrderKind kind,
    4: required list<i32> groups,
}

struct PlacementAcknowledgement {
    1: required list<i64> sequences,
}

/// Asks every owner to send the state of its buckets again.
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

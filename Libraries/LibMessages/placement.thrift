namespace cpp Chicorytally.Messages

/// A set of buckets of one service that left or return to the steady state.
struct TrackNotice {
    1: required i64 serviceId,
    2: required i64 revision,
    /// One bit a bucket, lowest bit of the first byte is bucket 0.
    3: required binary tracked,
    4: optional i64 epoch,
}

struct TrackAcknowledgement {
    1: required i64 serviceId,
    2: required i64 revision,
    3: optional i64 epoch,
}

struct FlowRecordCopy {
    1: required i64 flowLow,
    2: required i64 flowHigh,
    3: required i64 upstream,
    4: optional i64 revision,
    /// Age of the record when it was sent; clocks of two VMs are not compared.
    5: optional i32 ageMilliseconds,
    6: optional bool removed,
}

struct RecordBatch {
    1: required i64 serviceId,
    2: required i64 sequence,
    3: required list<FlowRecordCopy> records,
    /// The sender hands its ownership over; otherwise this is a copy for the backup.
    4: optional bool handover,
    5: optional list<i32> buckets,
}

struct RecordAcknowledgement {
    1: required i64 sequence,
}

struct BucketStateRequest {
    1: optional i64 serviceId,
    2: optional i32 firstBucket,
}

struct BucketStateReply {
    1: required i64 serviceId,
    2: required i64 revision,
    3: required binary tracked,
    /// Baselines that differ from the table of the revision, by bucket.
    4: optional map<i32, i64> baselines,
    5: optional bool last,
}

union PlacementMessage {
    1: TrackNotice trackNotice,
    2: TrackAcknowledgement trackAcknowledgement,
    3: RecordBatch recordBatch,
    4: RecordAcknowledgement recordAcknowledgement,
    5: BucketStateRequest bucketStateRequest,
    6: BucketStateReply bucketStateReply,
}

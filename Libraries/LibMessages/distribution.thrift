namespace cpp Chicorytally.Messages

struct RevisionDigest {
    /// 0 when the sender has no configuration.
    1: required i64 revision,
    /// Hash of the whole configuration at this revision.
    2: required i64 digest,
    /// How long ago a reader of the sender's zone last heard of the platform, as far as the sender knows.
    3: optional i32 platformAgeMilliseconds,
    /// The sender asks for a RevisionDigest in return.
    4: optional bool isQuestion,
    /// The sender serves copies to others at the moment; the receiver should try another source.
    5: optional bool isBusy,
}

struct DeltaRequest {
    1: required i64 fromRevision,
    2: optional i64 fromDigest,
}

struct ConfigurationFile {
    1: required string name,
    2: optional string content,
    3: optional bool removed,
}

struct Delta {
    1: required i64 fromRevision,
    2: required i64 toRevision,
    3: required i64 toDigest,
    4: required list<ConfigurationFile> files,
}

/// Asks for chunks of an encoded Delta. A delta from revision 0 is a full copy.
struct CopyRequest {
    1: required i64 revision,
    2: required i32 firstChunk,
    3: optional i32 chunkCount,
    4: optional i64 fromRevision,
}

/// Part of an encoded Delta. The encoding is the same on all balancers, so that chunks of several peers fit together.
struct CopyChunk {
    1: required i64 revision,
    /// Hash of the whole configuration at this revision.
    2: required i64 digest,
    3: required i32 index,
    4: required i32 count,
    5: required binary content,
    6: optional i64 fromRevision,
}

/// A key of the platform's store, as it was written at the revision.
struct StoredItem {
    1: required string key,
    /// Absent: the key was removed.
    2: optional binary value,
    3: required i64 revision,
}

/// Answer of a balancer that relays the platform's store: the changes after the revision that was asked for.
struct ItemBatch {
    1: required list<StoredItem> items,
    /// Every change up to this revision is known to the receiver after it has applied the items.
    2: required i64 completeUpTo,
    /// How long ago the sender knew of no newer revision.
    3: required i32 ageMilliseconds,
    /// The items are all there are: a key that is missing was removed.
    4: required bool isListing,
}

union DistributionMessage {
    1: RevisionDigest revisionDigest,
    2: DeltaRequest deltaRequest,
    3: Delta delta,
    4: CopyRequest copyRequest,
    5: CopyChunk copyChunk,
}

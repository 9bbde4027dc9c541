namespace cpp Chicorytally.Messages

struct RevisionDigest {
    /// 0 when the sender has no configuration.
    1: required i64 revision,
    /// Hash of the whole configuration at this revision.
    2: required i64 digest,
    /// Time since a reader in the sender's zone last received an answer from the platform, as known to the sender.
    3: optional i32 platformAgeMilliseconds,
    /// The sender requests a RevisionDigest in reply.
    4: optional bool isQuestion,
    /// The sender is serving copies to other balancers; the receiver should try another source.
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

/// Requests chunks of an encoded Delta. A delta from revision 0 is a full copy.
struct CopyRequest {
    1: required i64 revision,
    2: required i32 firstChunk,
    3: optional i32 chunkCount,
    4: optional i64 fromRevision,
}

/// Part of an encoded Delta. All balancers produce the same encoding, so chunks from several peers can be combined.
struct CopyChunk {
    1: required i64 revision,
    /// Hash of the whole configuration at this revision.
    2: required i64 digest,
    3: required i32 index,
    4: required i32 count,
    5: required binary content,
    6: optional i64 fromRevision,
}

/// A key of the platform's store as written at the given revision.
struct StoredItem {
    1: required string key,
    /// Absent if the key was removed.
    2: optional binary value,
    3: required i64 revision,
    /// The epoch of the revision, if it isn't that of the batch.
    4: optional i64 epoch,
}

/// A key's new value as a difference to an earlier value of the key.
struct StoredPatch {
    1: required string key,
    2: required i64 revision,
    /// The revision of the value that the patch applies to.
    3: required i64 baseRevision,
    4: required binary patch,
}

/// Reply of a balancer that relays the platform's store: the changes after the requested revision.
struct ItemBatch {
    1: required list<StoredItem> items,
    /// Once the items are applied, the receiver has every change up to this revision.
    2: required i64 completeUpTo,
    /// Time since the sender last knew that no newer revision existed.
    3: required i32 ageMilliseconds,
    /// The items are the complete content of the store: keys not listed were removed.
    4: required bool isListing,
    /// Sent only to receivers that announced support for it.
    5: optional list<StoredPatch> patches,
    /// The epoch of all revisions in the batch. Absent from balancers of earlier versions.
    6: optional i64 epoch,
}

union DistributionMessage {
    1: RevisionDigest revisionDigest,
    2: DeltaRequest deltaRequest,
    3: Delta delta,
    4: CopyRequest copyRequest,
    5: CopyChunk copyChunk,
}

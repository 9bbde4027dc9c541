namespace cpp Chicorytally.Messages

struct RevisionDigest {
    1: required i64 revision,
    /// Hash of the whole configuration at this revision.
    2: required i64 digest,
}

struct DeltaRequest {
    1: required i64 fromRevision,
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

struct CopyRequest {
    1: required i64 revision,
    2: required i32 firstChunk,
}

struct CopyChunk {
    1: required i64 revision,
    2: required i64 digest,
    3: required i32 index,
    4: required i32 count,
    5: required binary content,
}

union DistributionMessage {
    1: RevisionDigest revisionDigest,
    2: DeltaRequest deltaRequest,
    3: Delta delta,
    4: CopyRequest copyRequest,
    5: CopyChunk copyChunk,
}

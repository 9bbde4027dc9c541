namespace cpp Chicorytally.Messages

struct UpstreamCount {
    1: required i64 upstream,
    2: required i32 openFlows,
}

struct UpstreamCounts {
    1: required list<UpstreamCount> counts,
}

struct HealthResult {
    1: required i64 upstream,
    2: required bool healthy,
    3: optional i32 latencyMicroseconds,
    4: optional i32 reportedConnections,
    5: optional i32 reportedBusySlots,
    /// Start time or generation that the upstream reported; a change means a restart.
    6: optional i64 generation,
    7: optional i32 ageMilliseconds,
}

struct HealthResults {
    1: required list<HealthResult> results,
}

union LoadMessage {
    1: UpstreamCounts upstreamCounts,
    2: HealthResults healthResults,
}

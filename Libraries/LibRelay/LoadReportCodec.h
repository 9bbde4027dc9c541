#pragma once

#include <LibCore/Core.h>
#include <LibLoad/LoadReport.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Relay {

/// Version of the format below. Receivers ignore the records of a message with another version.
constexpr std::int16_t LoadRecordVersion = 1;

/// Orders the reports of a reporter, in serial number arithmetic (RFC 1982).
using ReportSequence = std::uint16_t;

/// Whether the first sequence is newer than the second one.
constexpr bool isNewer(ReportSequence first, ReportSequence second)
{
    return static_cast<std::int16_t>(static_cast<ReportSequence>(first - second)) > 0;
}

/// An observation with its origin.
struct LoadRecord {
    Core::VmId reporter;
    ReportSequence sequence { 0 };
    Load::UpstreamLoadReport observation;

    friend bool operator==(LoadRecord const&, LoadRecord const&) = default;
};

/// Size of the encoded header of records that share reporter and sequence, in bytes.
constexpr std::size_t LoadRecordHeaderSize = 11;
/// Size in bytes of an encoded record with an ID of 64 bits and an incarnation of 48 bits (milliseconds since 1970).
constexpr std::size_t TypicalLoadRecordSize = 19;

/// Encodes records up to a number of bytes. Adjacent records with the same reporter and sequence share a header.
/// Integers are in network byte order:
///
///     header   8 bytes reporter, 2 bytes sequence, 1 byte number of records
///     record   4 bits length of the ID, 4 bits length of the incarnation, ID, incarnation, requests in flight,
///              response time, weight, age; 1 byte each
///
/// Requests in flight are exact below 16, and within 7% up to 2^32 - 1. Response times have 16 steps per doubling, from
/// 2^-7.9 to 2^7.9, and weights 8, from 2^-7.9 to 2^23.9; beyond these limits the nearest step is used. Ages have steps
/// of 20 ms and are rounded up.
class LoadReportWriter {
public:
    explicit LoadReportWriter(std::size_t maximumBytes);

    /// Returns false if the record doesn't fit; nothing is added then.
    bool add(LoadRecord const&);
    std::string const& bytes() const { return m_bytes; }

private:
    bool continuesBlock(LoadRecord const&) const;

    std::size_t m_maximumBytes;
    std::string m_bytes;
    /// Position of the last header; meaningful if bytes() isn't empty.
    std::size_t m_headerAt { 0 };
    Core::VmId m_reporter;
    ReportSequence m_sequence { 0 };
};

/// Greatest age that a record can have. Greater ages are encoded as this one, and receivers ignore such records.
constexpr std::chrono::milliseconds MaximumLoadRecordAge { 5100 };

/// Returns std::nullopt if the bytes are truncated or malformed. Receivers then ignore all records of the message.
std::optional<std::vector<LoadRecord>> decodeLoadRecords(std::string_view);

}

#pragma once

#include <LibConfig/TableReader.h>
#include <LibModel/Model.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Config {

using namespace std::chrono_literals;

constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t MaxWeight = 1'000;
/// Far above what one upstream holds; a greater number is a slip of the pen.
constexpr std::int64_t MaxConnections = 1'000'000;
constexpr std::int64_t MaxSlots = 100'000;
constexpr std::chrono::seconds MinIdleTimeout = 1s;
/// A removed upstream keeps its flows for at most 24 h (see docs/design.md 4.5), so a longer idle timeout has no
/// effect.
constexpr std::chrono::seconds MaxIdleTimeout = 24h;
constexpr std::chrono::seconds MaxSlowStart = 1h;
constexpr std::chrono::seconds MinDrainDeadline = 1s;
constexpr std::chrono::seconds MaxDrainDeadline = 24h;
/// A service has a table of at least 64 buckets for each upstream; this keeps it below a million.
constexpr std::size_t MaxUpstreamsPerService = 10'000;

/// An upstream as it is declared, with what is needed to report faults between declarations.
struct DeclaredUpstream {
    std::string path;
    std::string name;
    Model::Upstream values;
    std::optional<Core::IpAddress> address;
    std::optional<std::string> zoneName;
    Position addressPosition;
    Position zonePosition;
};

struct DeclaredService {
    std::string path;
    Model::Service values;
    std::optional<Core::IpAddress> address;
    Position position;
    Position addressPosition;
    std::vector<DeclaredUpstream> upstreams;
};

/// Everything that the files declare; a value that has a fault is left at its default.
struct Declaration {
    Core::Revision revision;
    std::vector<DeclaredService> services;
    std::vector<Model::AvailabilityZone> zones;
};

/// Reads the keys, types and ranges of a merged table. Relations between declarations are left to the Validator.
Declaration readDeclaration(PositionedTable const&, FaultList&);

/// Ids are computed and everything is sorted by id.
Model::Configuration toConfiguration(Declaration const&);

}

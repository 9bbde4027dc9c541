#pragma once

#include <LibModel/Model.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Config {

enum class ChangeKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

enum class ChangeSubject : std::uint8_t {
    Service,
    Upstream,
    Zone,
};

std::string_view toString(ChangeKind);
std::string_view toString(ChangeSubject);

/// A changed key with its values as they stand in a file.
struct KeyChange {
    std::string key;
    std::string before;
    std::string after;

    friend bool operator==(KeyChange const&, KeyChange const&) = default;
};

/// A service, upstream or availability zone that differs. Things are matched by their names.
struct Change {
    ChangeKind kind { ChangeKind::Changed };
    ChangeSubject subject { ChangeSubject::Service };
    /// "register", "register/register-1" or "accra-a".
    std::string name;
    /// Only for Changed.
    std::vector<KeyChange> keys {};

    friend bool operator==(Change const&, Change const&) = default;
};

struct ServiceShare {
    std::string service;
    /// Share of the service's flows that is placed elsewhere, 0 to 1.
    double share { 0 };
};

struct Difference {
    /// Services, then upstreams, then zones; each sorted by name.
    std::vector<Change> changes;
    /// For services that are in both configurations, if there is a hook; sorted by name.
    std::vector<ServiceShare> movedShares;
};

struct DifferenceHooks {
    /// Share of the flows of a service that the second configuration places elsewhere than the first, 0 to 1. The
    /// service is that of the second one.
    std::function<double(Model::Configuration const&, Model::Configuration const&, Model::Service const&)>
        movedShare {};
};

Difference findDifference(
    Model::Configuration const& before, Model::Configuration const& after, DifferenceHooks const& hooks = {});

}

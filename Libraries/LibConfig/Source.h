#pragma once

#include <LibConfig/Parser.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Chicorytally::Config {

/// A configuration that a source offers, with the files it was made of, so that they can be passed on to peers.
struct Update {
    std::shared_ptr<Model::Configuration const> configuration;
    std::vector<SourceFile> files;
};

enum class SourceErrorKind : std::uint8_t {
    /// The source can't be read; it is tried again.
    Unreachable,
    /// The files have faults; the last good configuration stays in force.
    Faulty,
    /// An older revision than one that was seen before; it is ignored.
    Stale,
    /// Other content without a greater revision; it is refused.
    RevisionNotGreater,
};

std::string_view toString(SourceErrorKind);

struct SourceError {
    SourceErrorKind kind { SourceErrorKind::Unreachable };
    /// The folder or the URL.
    std::string source;
    std::string cause;
    /// For Faulty and RevisionNotGreater.
    std::vector<Fault> faults;
};

using UpdateHook = std::function<void(Update const&)>;
using ErrorHook = std::function<void(SourceError const&)>;

/// Where configurations come from. Hooks are called on the thread of the source, one at a time, and not after stop()
/// has returned. stop() must not be called from a hook.
struct Source {
    std::function<void(UpdateHook, ErrorHook)> start;
    std::function<void()> stop;
    /// An idle source reads nothing; a source that costs nobody else anything may ignore it.
    std::function<void(bool)> setActive;
};

}

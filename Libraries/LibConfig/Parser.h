#pragma once

#include <LibConfig/Fault.h>
#include <LibConfig/SourceFile.h>
#include <LibModel/Model.h>

#include <optional>
#include <vector>

namespace Chicorytally::Config {

/// Converts a set of TOML files, merged in the order of their names, into a validated configuration. All faults are
/// collected; a set with any fault gives no configuration. Not thread-safe.
class Parser {
public:
    /// The configuration carries the given revision. Without a valid one it carries the `revision` key of the files, if
    /// there is one.
    std::optional<Model::Configuration> parse(std::vector<SourceFile> const&, Core::Revision);
    /// Faults of the last parse(), sorted by position.
    std::vector<Fault> const& faults() const { return m_faults; }
    /// Value of the `revision` key in the last parsed files; invalid without one.
    Core::Revision declaredRevision() const { return m_declaredRevision; }

private:
    std::vector<Fault> m_faults;
    Core::Revision m_declaredRevision;
};

}

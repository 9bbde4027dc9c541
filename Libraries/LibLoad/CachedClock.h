#pragma once

#include <LibCore/Core.h>

namespace Chicorytally::Load {

/// The time of the last update from another clock, for several uses of one time: reading the system's clock takes about
/// 30 ns. Not thread-safe.
class CachedClock final : public Core::Clock {
public:
    explicit CachedClock(Core::Clock const& source)
        : m_source(source)
        , m_now(source.now())
    {
    }

    Core::TimePoint now() const override { return m_now; }
    void update() { m_now = m_source.now(); }

private:
    Core::Clock const& m_source;
    Core::TimePoint m_now;
};

}

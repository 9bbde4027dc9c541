#include <LibConfig/ReadSchedule.h>

#include <algorithm>

namespace Chicorytally::Config {

ReadSchedule::ReadSchedule(ReadScheduleOptions options, std::uint64_t seed)
    : m_options(options)
    , m_backoff(options.backoff, seed)
{
}

std::optional<Core::TimePoint> ReadSchedule::nextRead() const
{
    return m_isActive ? std::optional { m_nextRead } : std::nullopt;
}

void ReadSchedule::noteFailure(Core::TimePoint now)
{
    m_nextRead = std::max<Core::TimePoint>(m_nextRead, now + m_backoff.next());
}

}

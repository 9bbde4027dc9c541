#include <LibConfig/Backoff.h>

#include <algorithm>

namespace Chicorytally::Config {

Backoff::Backoff(BackoffOptions options, std::uint64_t seed)
    : m_options(options)
    , m_span(options.initial)
    , m_random(seed)
{
}

std::chrono::milliseconds Backoff::next()
{
    std::uniform_int_distribution<std::int64_t> jitter { m_span.count() / 2, m_span.count() };
    std::chrono::milliseconds delay { jitter(m_random) };
    m_span = std::min(m_span * 2, m_options.maximum);
    return delay;
}

}

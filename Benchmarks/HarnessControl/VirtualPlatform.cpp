#include <HarnessControl/VirtualPlatform.h>

namespace Chicorytally::Benchmarks {

void VirtualPlatform::countRead(Core::TimePoint now)
{
    ++reads;
    if (now - m_second >= std::chrono::seconds { 1 }) {
        m_second = now;
        m_readsInSecond = 0;
    }
    ++m_readsInSecond;
    busiestSecond = std::max(busiestSecond, m_readsInSecond);
}

VirtualPlatform::Copy const& VirtualPlatform::copyFor(std::size_t node) const
{
    auto const* copy = replica ? replica(node) : nullptr;
    return copy ? *copy : newest;
}

}

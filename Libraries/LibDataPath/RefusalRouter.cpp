#include <LibDataPath/RefusalRouter.h>

#include <algorithm>

namespace Chicorytally::DataPath {

RefusalRouter::RefusalRouter(
    FabricEndpoint& fabric, std::optional<Core::Endpoint> configured, std::uint32_t maxPerSecond)
    : m_fabric(fabric)
    , m_reader(fabric)
    , m_configured(configured)
    , m_maxPerSecond(maxPerSecond)
    , m_tokens(maxPerSecond)
{
}

void RefusalRouter::startBatch(Core::TimePoint now)
{
    if (m_lastRefill) {
        std::chrono::duration<double> elapsed = now - *m_lastRefill;
        m_tokens = std::min(m_maxPerSecond, m_tokens + elapsed.count() * m_maxPerSecond);
    }
    m_lastRefill = now;
    m_hasLearnedInBatch = false;
    m_reader.refresh();
}

void RefusalRouter::learnFabricEndpoint(PacketContext const& context)
{
    // One packet per batch is enough, since publishing takes a lock.
    if (m_configured || m_hasLearnedInBatch || context.info.hopCount || !context.info.service.isValid())
        return;
    m_hasLearnedInBatch = true;
    if (m_reader.get() && *m_reader.get() == context.from)
        return;
    m_fabric.publish(std::make_shared<Core::Endpoint const>(context.from));
    m_reader.refresh();
}

std::optional<Core::Endpoint> RefusalRouter::route(PacketContext& context)
{
    if (m_tokens < 1) {
        context.dropReason = DropReason::RefusalLimit;
        return std::nullopt;
    }
    m_tokens -= 1;
    if (m_configured)
        return m_configured;
    if (!context.info.hopCount)
        return context.from;
    return m_reader.get() ? std::optional { *m_reader.get() } : std::nullopt;
}

}

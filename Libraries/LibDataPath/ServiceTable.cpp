#include <LibDataPath/ServiceTable.h>

namespace Chicorytally::DataPath {

ServiceTable::ServiceTable(Model::Configuration const& configuration)
{
    for (auto const& service : configuration.services) {
        m_services.emplace(Key { service.address, service.protocol }, service.id);
        m_addresses.insert(service.address.address);
    }
}

Core::ServiceId ServiceTable::find(Core::Endpoint const& address, Core::Protocol protocol) const
{
    auto position = m_services.find(Key { address, protocol });
    return position != m_services.end() ? position->second : Core::ServiceId {};
}

}

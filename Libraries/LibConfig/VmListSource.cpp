#include <LibConfig/VmListSource.h>

namespace Chicorytally::Config {

VmListSource::VmListSource(VmListSourceOptions options)
    : m_url("http://" + options.platform.toString() + "/v1/vms")
    , m_reader(options.platform, options.timeouts, options.schedule, options.seed)
{
}

void VmListSource::start(VmListHook onList, ErrorHook onError)
{
    m_onList = std::move(onList);
    m_onError = std::move(onError);
    m_reader.start([this](PlatformClient& client) { return read(client); });
}

bool VmListSource::read(PlatformClient& client)
{
    std::string error;
    auto list = client.readVms(error);
    if (!list) {
        if (error != m_lastFailure && m_reader.isWanted()) {
            m_lastFailure = error;
            m_onError({ SourceErrorKind::Unreachable, m_url, error, {} });
        }
        return false;
    }
    m_lastFailure.clear();
    if (m_lastList == list)
        return true;
    m_lastList = std::move(list);
    m_onList(*m_lastList);
    return true;
}

}

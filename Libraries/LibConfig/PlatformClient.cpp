#include <LibConfig/PlatformClient.h>

#include <absl/strings/str_cat.h>
#include <httplib.h>

namespace Chicorytally::Config {

// Several times the configuration of the design size, so that a broken platform can't exhaust the memory.
static constexpr std::size_t MaxAnswerSize = std::size_t { 16 } << 20;

struct PlatformClient::Answer {
    std::string body;
    /// Value of the X-Revision header; empty without one.
    std::string revision;
};

PlatformClient::PlatformClient(Core::Endpoint const& endpoint, PlatformTimeouts timeouts)
    : m_timeouts(timeouts)
    , m_client(std::make_unique<httplib::Client>(endpoint.address.toString(), endpoint.port))
{
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
    m_client->set_connection_timeout(timeouts.connect);
    m_client->set_write_timeout(timeouts.write);
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::cancel() { m_client->stop(); }

std::optional<PlatformClient::Answer> PlatformClient::get(
    std::string const& path, std::chrono::milliseconds readTimeout, std::string& error)
{
    m_client->set_read_timeout(readTimeout);
    Answer answer;
    bool isTooLong = false;
    auto result = m_client->Get(path, [&](char const* data, std::size_t length) {
        isTooLong = answer.body.size() + length > MaxAnswerSize;
        if (!isTooLong)
            answer.body.append(data, length);
        return !isTooLong;
    });
    if (isTooLong) {
        error = absl::StrCat("the answer has more than ", MaxAnswerSize, " bytes");
        return std::nullopt;
    }
    if (!result) {
        error = "no answer: " + httplib::to_string(result.error());
        return std::nullopt;
    }
    if (result->status != 200) {
        error = absl::StrCat("the answer has HTTP status ", result->status);
        return std::nullopt;
    }
    answer.revision = result->get_header_value("X-Revision");
    return answer;
}

std::optional<PlatformConfiguration> PlatformClient::readConfiguration(
    Core::Revision index, std::chrono::seconds wait, std::string& error)
{
    auto path = absl::StrCat("/v1/config?index=", index.value(), "&wait=", wait.count(), "s");
    auto answer = get(path, m_timeouts.read + wait, error);
    if (!answer)
        return std::nullopt;
    auto configuration = decodePlatformConfiguration(answer->body, error);
    if (!configuration)
        return std::nullopt;
    if (answer->revision.empty() || answer->revision == absl::StrCat(configuration->revision.value()))
        return configuration;
    error = absl::StrCat(
        "header X-Revision is '", answer->revision, "', but the answer has revision ", configuration->revision.value());
    return std::nullopt;
}

std::optional<VmList> PlatformClient::readVms(std::string& error)
{
    auto answer = get("/v1/vms", m_timeouts.read, error);
    return answer ? decodeVmList(answer->body, error) : std::nullopt;
}

}

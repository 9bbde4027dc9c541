#pragma once

#include <LibConfig/PlatformMessages.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace httplib {
class Client;
}

namespace Chicorytally::Config {

struct PlatformTimeouts {
    std::chrono::milliseconds connect { 2'000 };
    std::chrono::milliseconds write { 2'000 };
    /// For an answer that the platform gives at once; added to the wait of a blocking query.
    std::chrono::milliseconds read { 5'000 };
};

/// Speaks the platform's protocol over HTTP. One thread reads; only cancel() may be called from others.
class PlatformClient {
public:
    PlatformClient(Core::Endpoint const&, PlatformTimeouts);
    PlatformClient(PlatformClient const&) = delete;
    PlatformClient& operator=(PlatformClient const&) = delete;
    ~PlatformClient();

    /// Blocking query: waits until there is a greater revision than the index, or for the wait time. Nothing on
    /// failure; the error then says why.
    std::optional<PlatformConfiguration> readConfiguration(
        Core::Revision index, std::chrono::seconds wait, std::string& error);
    std::optional<VmList> readVms(std::string& error);
    /// Lets a read that waits for its answer fail. Has no effect on one that is still connecting.
    void cancel();

private:
    struct Answer;

    std::optional<Answer> get(std::string const& path, std::chrono::milliseconds readTimeout, std::string& error);

    PlatformTimeouts m_timeouts;
    std::unique_ptr<httplib::Client> m_client;
};

}

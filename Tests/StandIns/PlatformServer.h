#pragma once

#include <LibConfig/PlatformMessages.h>

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace Chicorytally::StandIns {

enum class PlatformMode : std::uint8_t {
    Up,
    /// Answers every read with HTTP status 503.
    Down,
    /// Answers like a replica that gets no more updates.
    Stale,
};

/// What the platform's configuration service and VM list do, over HTTP:
/// GET /v1/config?index=N&wait=30s, GET /v1/vms, and for the control of tests GET /control and
/// POST /control?mode=up|down|stale[&behind=1]. With behind=1 a stale platform serves the revision before the one that
/// was current. Thread-safe.
class PlatformServer {
public:
    PlatformServer()
    {
        // Each waiting watch holds a thread.
        m_server.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
        m_server.Get("/v1/config", [this](auto const& request, auto& response) { answerConfig(request, response); });
        m_server.Get("/v1/vms", [this](auto const&, auto& response) { answerVms(response); });
        m_server.Get("/control", [this](auto const&, auto& response) { answerControl(response); });
        m_server.Post("/control", [this](auto const& request, auto& response) { control(request, response); });
    }
    PlatformServer(PlatformServer const&) = delete;
    PlatformServer& operator=(PlatformServer const&) = delete;
    ~PlatformServer() { stop(); }

    /// Port 0 takes any free one. False when the address can't be bound.
    bool start(Core::Endpoint endpoint)
    {
        auto host = endpoint.address.toString();
        if (endpoint.port == 0)
            endpoint.port = static_cast<std::uint16_t>(std::max(m_server.bind_to_any_port(host), 0));
        else if (!m_server.bind_to_port(host, endpoint.port))
            return false;
        m_endpoint = endpoint;
        m_thread = std::thread { [this] { m_server.listen_after_bind(); } };
        // A stop before the server runs would have no effect.
        while (endpoint.port != 0 && !m_server.is_running())
            std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
        return endpoint.port != 0;
    }

    void stop()
    {
        {
            absl::MutexLock lock { &m_lock };
            m_isStopping = true;
        }
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    Core::Endpoint const& endpoint() const { return m_endpoint; }

    void publish(Config::PlatformConfiguration configuration)
    {
        absl::MutexLock lock { &m_lock };
        m_history.push_back(std::move(configuration));
        if (m_history.size() > 2 && m_mode != PlatformMode::Stale)
            m_history.pop_front();
    }

    void setVms(nlohmann::json vms)
    {
        absl::MutexLock lock { &m_lock };
        m_vms = std::move(vms);
        ++m_vmRevision;
    }

    void setMode(PlatformMode mode, std::size_t behind = 0)
    {
        absl::MutexLock lock { &m_lock };
        m_mode = mode;
        m_frozen
            = m_history.size() > behind ? std::optional { m_history[m_history.size() - 1 - behind] } : std::nullopt;
    }

    /// Reads so far, as the platform counts them: a waiting watch is one.
    std::uint64_t reads() const
    {
        absl::MutexLock lock { &m_lock };
        return m_reads;
    }

    /// Waits until the number of waiting watches is as given; a guard against a hanging test.
    bool awaitWaiting(int count) const
    {
        auto isReached = [this, count]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock) { return m_waiting == count; };
        absl::MutexLock lock { &m_lock };
        return m_lock.AwaitWithTimeout(absl::Condition { &isReached }, absl::Seconds(20));
    }

private:
    static constexpr std::size_t Threads = 64;
    static constexpr absl::Duration MaxWait = absl::Minutes(5);

    Config::PlatformConfiguration const* served() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock)
    {
        if (m_mode == PlatformMode::Stale)
            return m_frozen ? &*m_frozen : nullptr;
        return m_history.empty() ? nullptr : &m_history.back();
    }

    void answerConfig(httplib::Request const& request, httplib::Response& response)
    {
        auto index = std::strtoull(request.get_param_value("index").c_str(), nullptr, 10);
        absl::Duration wait;
        if (!absl::ParseDuration(request.get_param_value("wait"), &wait))
            wait = absl::ZeroDuration();
        absl::MutexLock lock { &m_lock };
        ++m_reads;
        auto isOver = [this, index]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock) {
            auto const* configuration = served();
            return m_isStopping || m_mode == PlatformMode::Down
                || (configuration && configuration->revision.value() > index);
        };
        ++m_waiting;
        m_lock.AwaitWithTimeout(absl::Condition { &isOver }, std::min(wait, MaxWait));
        --m_waiting;
        auto const* configuration = served();
        if (m_isStopping || m_mode == PlatformMode::Down || !configuration) {
            response.status = 503;
            return;
        }
        auto files = nlohmann::json::array();
        for (auto const& file : configuration->files)
            files.push_back({ { "name", file.name }, { "content", file.content } });
        nlohmann::json answer { { "revision", configuration->revision.value() }, { "files", files } };
        response.set_header("X-Revision", absl::StrCat(configuration->revision.value()));
        response.set_content(answer.dump(), "application/json");
    }

    void answerVms(httplib::Response& response)
    {
        absl::MutexLock lock { &m_lock };
        ++m_reads;
        if (m_mode == PlatformMode::Down) {
            response.status = 503;
            return;
        }
        nlohmann::json answer { { "revision", m_vmRevision }, { "vms", m_vms } };
        response.set_content(answer.dump(), "application/json");
    }

    void answerControl(httplib::Response& response)
    {
        absl::MutexLock lock { &m_lock };
        auto const* configuration = served();
        nlohmann::json answer { { "reads", m_reads }, { "waiting", m_waiting },
            { "revision", configuration ? configuration->revision.value() : 0 }, { "mode", modeName() } };
        response.set_content(answer.dump(), "application/json");
    }

    char const* modeName() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock)
    {
        if (m_mode == PlatformMode::Down)
            return "down";
        return m_mode == PlatformMode::Stale ? "stale" : "up";
    }

    void control(httplib::Request const& request, httplib::Response& response)
    {
        auto mode = request.get_param_value("mode");
        if (mode == "up")
            setMode(PlatformMode::Up);
        else if (mode == "down")
            setMode(PlatformMode::Down);
        else if (mode == "stale")
            setMode(PlatformMode::Stale, request.get_param_value("behind") == "1" ? 1 : 0);
        else
            response.status = 400;
        if (response.status == 400)
            response.set_content("write mode=up, mode=down or mode=stale\n", "text/plain");
        else
            answerControl(response);
    }

    httplib::Server m_server;
    Core::Endpoint m_endpoint;
    std::thread m_thread;
    mutable absl::Mutex m_lock;
    bool m_isStopping ABSL_GUARDED_BY(m_lock) { false };
    PlatformMode m_mode ABSL_GUARDED_BY(m_lock) { PlatformMode::Up };
    std::deque<Config::PlatformConfiguration> m_history ABSL_GUARDED_BY(m_lock);
    std::optional<Config::PlatformConfiguration> m_frozen ABSL_GUARDED_BY(m_lock);
    nlohmann::json m_vms ABSL_GUARDED_BY(m_lock) = nlohmann::json::array();
    std::uint64_t m_vmRevision ABSL_GUARDED_BY(m_lock) { 0 };
    std::uint64_t m_reads ABSL_GUARDED_BY(m_lock) { 0 };
    int m_waiting ABSL_GUARDED_BY(m_lock) { 0 };
};

}

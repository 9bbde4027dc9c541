#pragma once

#include <LibCore/Core.h>
#include <LibEventLoop/Loop.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace Chicorytally::EventLoop {

enum class ProbeResult : std::uint8_t {
    /// The handshake was completed.
    Connected,
    /// The VM answered that no process listens.
    Refused,
    /// Nothing answered in time.
    TimedOut,
    /// No socket could be made here; says nothing of the other end.
    LocalError,
};

/// One TCP handshake that tells whether a process listens at an endpoint. The connection is closed at once.
class ConnectionProbe {
public:
    using Callback = std::function<void(ProbeResult)>;

    /// Calls back once, on the loop and not before this returns. Destroying the probe cancels it.
    ConnectionProbe(Loop&, Core::Clock const&, Core::Endpoint const&, std::chrono::milliseconds timeout, Callback);
    ConnectionProbe(ConnectionProbe const&) = delete;
    ConnectionProbe& operator=(ConnectionProbe const&) = delete;
    ~ConnectionProbe();

private:
    void check();

    Core::Clock const& m_clock;
    Core::TimePoint m_deadline;
    std::chrono::milliseconds m_timeout;
    Callback m_callback;
    int m_descriptor;
    std::unique_ptr<EventRegistration> m_event;
};

}

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
    /// The VM refused or reset the connection: no process listens on the port.
    Refused,
    /// There was no response within the timeout, or the connection failed in another way.
    TimedOut,
    /// The local socket could not be created; the state of the endpoint is unknown.
    LocalError,
};

/// Checks with one TCP handshake whether a process listens on an endpoint. The destructor closes the connection.
class ConnectionProbe {
public:
    using Callback = std::function<void(ProbeResult)>;

    /// The callback is called once, on the loop and never from the constructor. Destroying the probe cancels it.
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

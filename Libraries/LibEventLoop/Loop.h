#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

struct event;
struct event_base;

namespace Chicorytally::EventLoop {

/// A registration with the loop; destroying it cancels it. Must not outlive the loop.
class EventRegistration {
public:
    using Callback = std::function<void()>;

    EventRegistration(event_base*, int source, short events, Callback);
    EventRegistration(EventRegistration const&) = delete;
    EventRegistration& operator=(EventRegistration const&) = delete;
    ~EventRegistration();

    /// Arms the registration. With a time it also fires when that has passed.
    void arm();
    void arm(std::chrono::milliseconds timeout);
    void cancel();

private:
    Callback m_callback;
    event* m_event;
};

/// The event loop of the process.
class Loop {
public:
    /// Nothing when libevent can't be set up; the error says why.
    static std::unique_ptr<Loop> create(std::string& error);
    Loop(Loop const&) = delete;
    Loop& operator=(Loop const&) = delete;
    ~Loop();

    /// Runs until stop().
    void run();
    void stop();

    /// Calls back each time the descriptor is readable.
    std::unique_ptr<EventRegistration> onReadable(int descriptor, EventRegistration::Callback);
    /// Calls back each time the signal arrives.
    std::unique_ptr<EventRegistration> onSignal(int signal, EventRegistration::Callback);
    /// Calls back at each interval; a callback that is late is not made up for.
    std::unique_ptr<EventRegistration> every(std::chrono::milliseconds interval, EventRegistration::Callback);
    /// Calls back once for each time that it is armed with a time.
    std::unique_ptr<EventRegistration> timer(EventRegistration::Callback);

    event_base* base() const { return m_base; }

private:
    explicit Loop(event_base* base)
        : m_base(base)
    {
    }

    event_base* m_base;
};

}

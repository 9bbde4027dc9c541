#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

struct event;
struct event_base;

namespace Chicorytally::EventLoop {

/// Registers a callback for an event of the loop; the destructor cancels it. Must not outlive the loop.
class EventRegistration {
public:
    using Callback = std::function<void()>;

    EventRegistration(event_base*, int source, short events, Callback);
    EventRegistration(EventRegistration const&) = delete;
    EventRegistration& operator=(EventRegistration const&) = delete;
    ~EventRegistration();

    /// Enables the callback. With a timeout, it is also called when the timeout has passed.
    void arm();
    void arm(std::chrono::milliseconds timeout);
    void cancel();

private:
    Callback m_callback;
    event* m_event;
};

/// An event loop; run() processes its events on the calling thread.
class Loop {
public:
    /// Returns nullptr and sets the error if libevent can't be initialized.
    static std::unique_ptr<Loop> create(std::string& error);
    Loop(Loop const&) = delete;
    Loop& operator=(Loop const&) = delete;
    ~Loop();

    /// Processes events until stop() is called.
    void run();
    void stop();

    /// Calls back whenever the descriptor is readable.
    std::unique_ptr<EventRegistration> onReadable(int descriptor, EventRegistration::Callback);
    /// Calls back whenever the process receives the signal.
    std::unique_ptr<EventRegistration> onSignal(int signal, EventRegistration::Callback);
    /// Calls back once per interval. Missed intervals are not made up for.
    std::unique_ptr<EventRegistration> every(std::chrono::milliseconds interval, EventRegistration::Callback);
    /// Creates a one-shot timer: calls back once for each arm() with a timeout.
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

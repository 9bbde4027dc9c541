#include <LibEventLoop/Loop.h>

#include <LibEventLoop/TimeValue.h>

#include <event2/event.h>

namespace Chicorytally::EventLoop {

EventRegistration::EventRegistration(event_base* base, int source, short events, Callback callback)
    : m_callback(std::move(callback))
    , m_event(event_new(
          base, source, events, [](int, short, void* self) { static_cast<EventRegistration*>(self)->m_callback(); },
          this))
{
}

EventRegistration::~EventRegistration() { event_free(m_event); }

void EventRegistration::arm() { event_add(m_event, nullptr); }

void EventRegistration::arm(std::chrono::milliseconds timeout)
{
    auto value = toTimeValue(timeout);
    event_add(m_event, &value);
}

void EventRegistration::cancel() { event_del(m_event); }

std::unique_ptr<Loop> Loop::create(std::string& error)
{
    auto* base = event_base_new();
    if (base)
        return std::unique_ptr<Loop> { new Loop { base } };
    error = "libevent found no usable event notification mechanism";
    return nullptr;
}

Loop::~Loop() { event_base_free(m_base); }

void Loop::run() { event_base_dispatch(m_base); }

void Loop::stop() { event_base_loopbreak(m_base); }

std::unique_ptr<EventRegistration> Loop::onReadable(int descriptor, EventRegistration::Callback callback)
{
    auto registration
        = std::make_unique<EventRegistration>(m_base, descriptor, EV_READ | EV_PERSIST, std::move(callback));
    registration->arm();
    return registration;
}

std::unique_ptr<EventRegistration> Loop::onSignal(int signal, EventRegistration::Callback callback)
{
    auto registration
        = std::make_unique<EventRegistration>(m_base, signal, EV_SIGNAL | EV_PERSIST, std::move(callback));
    registration->arm();
    return registration;
}

std::unique_ptr<EventRegistration> Loop::every(std::chrono::milliseconds interval, EventRegistration::Callback callback)
{
    auto registration = std::make_unique<EventRegistration>(m_base, -1, EV_PERSIST, std::move(callback));
    registration->arm(interval);
    return registration;
}

std::unique_ptr<EventRegistration> Loop::timer(EventRegistration::Callback callback)
{
    return std::make_unique<EventRegistration>(m_base, -1, 0, std::move(callback));
}

}

#pragma once

namespace Chicorytally::Daemon {

/// Wakes a thread that waits in poll(2), from any thread (eventfd(2)).
class WakeEvent {
public:
    WakeEvent();
    WakeEvent(WakeEvent const&) = delete;
    WakeEvent& operator=(WakeEvent const&) = delete;
    ~WakeEvent();

    void notify() const;
    /// Takes back all notifications so far.
    void clear() const;
    int fileDescriptor() const { return m_fileDescriptor; }

private:
    int m_fileDescriptor;
};

}

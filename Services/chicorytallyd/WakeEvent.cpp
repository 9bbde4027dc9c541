#include "WakeEvent.h"

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Chicorytally::Daemon {

WakeEvent::WakeEvent()
    : m_fileDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

WakeEvent::~WakeEvent() { close(m_fileDescriptor); }

void WakeEvent::notify() const
{
    std::uint64_t one = 1;
    // Fails only when the counter is full, and then the thread is woken already.
    [[maybe_unused]] auto written = write(m_fileDescriptor, &one, sizeof(one));
}

void WakeEvent::clear() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] auto size = read(m_fileDescriptor, &count, sizeof(count));
}

}

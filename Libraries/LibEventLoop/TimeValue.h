#pragma once

#include <chrono>
#include <sys/time.h>

namespace Chicorytally::EventLoop {

inline timeval toTimeValue(std::chrono::milliseconds duration)
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return { seconds.count(), std::chrono::microseconds { duration - seconds }.count() };
}

}

#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace Chicorytally::Config {

struct BackoffOptions {
    std::chrono::milliseconds initial { 250 };
    /// Short enough that a change is in force within 12 s once the platform is back.
    std::chrono::milliseconds maximum { 5'000 };
};

/// Exponential backoff with jitter: each delay lies between half and all of a span that doubles with every failure. The
/// jitter keeps the readers of a fleet from coming back all at once (Brooker, "Exponential Backoff And Jitter", 2015,
/// there called equal jitter). Not thread-safe.
class Backoff {
public:
    Backoff(BackoffOptions, std::uint64_t seed);

    /// The delay after one more failure.
    std::chrono::milliseconds next();
    void reset() { m_span = m_options.initial; }

private:
    BackoffOptions m_options;
    std::chrono::milliseconds m_span;
    std::mt19937_64 m_random;
};

}

#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <vector>

namespace Chicorytally::Load {

/// Remembers refused opening packets for the time of their retransmissions (600 ms), so that these get the same
/// verdict. Memory is allocated once; a newer open may displace an older one. Not thread-safe.
class RefusedOpens {
public:
    RefusedOpens(Core::Clock const&, std::size_t size);

    void add(Core::FlowKey const&, std::uint32_t sequence);
    bool contains(Core::FlowKey const&, std::uint32_t sequence) const;

private:
    struct Entry {
        std::uint64_t hash { 0 };
        Core::TimePoint time;
    };

    std::size_t firstOf(std::uint64_t hash) const;

    Core::Clock const& m_clock;
    std::vector<Entry> m_entries;
};

}

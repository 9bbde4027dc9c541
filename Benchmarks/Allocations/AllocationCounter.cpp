#include <Allocations/AllocationCounter.h>

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

static std::atomic<std::uint64_t> s_allocations { 0 };
static std::atomic<std::uint64_t> s_allocatedBytes { 0 };

namespace Chicorytally::Benchmarks {

std::uint64_t allocationCount() { return s_allocations.load(); }
std::uint64_t allocatedBytes() { return s_allocatedBytes.load(); }

}

static void* allocate(std::size_t size, std::size_t alignment)
{
    s_allocations.fetch_add(1, std::memory_order_relaxed);
    // aligned_alloc takes multiples of the alignment only.
    auto rounded = (size + alignment - 1) / alignment * alignment;
    auto* memory = std::aligned_alloc(alignment, rounded);
    if (!memory)
        throw std::bad_alloc {};
    s_allocatedBytes.fetch_add(malloc_usable_size(memory), std::memory_order_relaxed);
    return memory;
}

static void release(void* memory)
{
    s_allocatedBytes.fetch_sub(malloc_usable_size(memory), std::memory_order_relaxed);
    std::free(memory);
}

// The array, sized and nothrow forms of the standard library call these.
void* operator new(std::size_t size) { return allocate(size, __STDCPP_DEFAULT_NEW_ALIGNMENT__); }
void* operator new(std::size_t size, std::align_val_t alignment)
{
    return allocate(size, static_cast<std::size_t>(alignment));
}
void operator delete(void* memory) noexcept { release(memory); }
void operator delete(void* memory, std::size_t) noexcept { release(memory); }
void operator delete(void* memory, std::align_val_t) noexcept { release(memory); }
void operator delete(void* memory, std::size_t, std::align_val_t) noexcept { release(memory); }

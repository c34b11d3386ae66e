#include "Allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::int64_t> allocations { 0 };

} // namespace

// In a file of their own, since the compiler takes inlined replacements for a mismatch.
void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size)) // NOLINT: the replacement of operator new
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); } // NOLINT: see above
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); } // NOLINT: see above

namespace lacewingsail::bench {

std::int64_t allocationCount() { return allocations; }

} // namespace lacewingsail::bench

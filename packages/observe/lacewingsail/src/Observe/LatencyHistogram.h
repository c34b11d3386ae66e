#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingsail {

/// \brief Histogram of durations with logarithmic bins from 0.1 ms to 100 s. Filling it takes no lock.
class LatencyHistogram {
public:
    struct Bin {
        std::chrono::microseconds upperBound;
        std::uint64_t count;
    };

    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram&) = delete;
    LatencyHistogram& operator=(const LatencyHistogram&) = delete;

    void fill(std::chrono::microseconds);

    /// \returns all bins in ascending order; the last has no upper bound (microseconds::max()).
    std::vector<Bin> bins() const;

private:
    struct Storage;
    std::unique_ptr<Storage> m_storage;
};

} // namespace lacewingsail

#include <lacewingsail/Observe.h>

#include <boost/histogram.hpp>

#include <algorithm>

namespace lacewingsail {

namespace histogram = boost::histogram;

namespace internal {

    constexpr unsigned binCount = 48;
    constexpr double lowestMicroseconds = 100;
    constexpr double highestMicroseconds = 100'000'000;

    using Counter = histogram::accumulators::count<std::uint64_t, true>;
    using LogarithmicAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

    auto makeHistogram()
    {
        return histogram::make_histogram_with(histogram::dense_storage<Counter>(), LogarithmicAxis(binCount, lowestMicroseconds, highestMicroseconds));
    }

} // namespace internal

struct LatencyHistogram::Storage {
    decltype(internal::makeHistogram()) histogram = internal::makeHistogram();
};

LatencyHistogram::LatencyHistogram()
    : m_storage(std::make_unique<Storage>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::fill(std::chrono::microseconds duration)
{
    m_storage->histogram(static_cast<double>(std::max<std::int64_t>(duration.count(), 1)));
}

std::vector<LatencyHistogram::Bin> LatencyHistogram::bins() const
{
    std::vector<Bin> result;
    const auto& axis = m_storage->histogram.axis(0);
    for (int index = -1; index <= axis.size(); ++index) {
        const bool last = index == axis.size();
        const auto bound = last ? std::chrono::microseconds::max() : std::chrono::microseconds(static_cast<std::int64_t>(axis.value(index + 1)));
        result.push_back({ bound, m_storage->histogram.at(index).value() });
    }
    return result;
}

} // namespace lacewingsail

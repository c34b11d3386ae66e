#pragma once

#include "LatencyHistogram.h"

#include <lacewingsail/World.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <utility>

namespace lacewingsail {

/// \brief Named counters and histograms of one process, with a bound on how many there may be.
/// Looking one up takes a shared lock; keep the reference where it is used often.
class Metrics {
public:
    /// \param mostSeries names beyond this share the label "other".
    explicit Metrics(std::size_t mostSeries);

    /// \brief A counter with one label, as in requests_total{account="norrland"}.
    std::atomic<std::uint64_t>& counter(std::string_view name, std::string_view label, std::string_view value);

    /// \brief A histogram of durations with one label.
    LatencyHistogram& latency(std::string_view name, std::string_view label, std::string_view value);

    /// \returns everything in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct SeriesName {
        std::string name;
        std::string label;
        std::string value;
        auto operator<=>(const SeriesName&) const = default;
    };
    template <typename Series>
    using Table = std::map<SeriesName, std::unique_ptr<Series>>;

    template <typename Series>
    Series& find(Table<Series>& table, SeriesName);

    const std::size_t m_mostSeries;
    mutable std::shared_mutex m_mutex;
    Table<std::atomic<std::uint64_t>> m_counters;
    Table<LatencyHistogram> m_latencies;
};

} // namespace lacewingsail

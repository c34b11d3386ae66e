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
#include <type_traits>
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

    /// \brief Either of the two, by its type.
    template <typename Series>
    Series& series(std::string_view name, std::string_view label, std::string_view value)
    {
        if constexpr (std::is_same_v<Series, LatencyHistogram>)
            return latency(name, label, value);
        else
            return counter(name, label, value);
    }

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

/// \brief One thread's own way to the series of one name: after its first use, a series is found without a lock and
/// without an allocation.
template <typename Series>
class SeriesFamily {
public:
    /// \param metrics must outlive the family, as must the texts.
    SeriesFamily(Metrics& metrics, std::string_view name, std::string_view label)
        : m_metrics(metrics)
        , m_name(name)
        , m_label(label)
    {
    }

    Series& at(std::string_view value)
    {
        const auto found = m_known.find(value);
        if (found != m_known.end())
            return *found->second;
        return *m_known.emplace(value, &m_metrics.series<Series>(m_name, m_label, value)).first->second;
    }

private:
    Metrics& m_metrics;
    const std::string_view m_name;
    const std::string_view m_label;
    std::map<std::string, Series*, std::less<>> m_known;
};

using CounterFamily = SeriesFamily<std::atomic<std::uint64_t>>;
using LatencyFamily = SeriesFamily<LatencyHistogram>;

} // namespace lacewingsail

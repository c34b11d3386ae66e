#include <lacewingsail/Observe.h>

#include <cassert>
#include <mutex>

namespace lacewingsail {

namespace internal {

    constexpr const char* prefix = "lacewingsail_";
    constexpr const char* overflowLabel = "other";

    std::string escaped(std::string_view value)
    {
        std::string result;
        for (const char character : value) {
            if (character == '"' || character == '\\')
                result += '\\';
            result += character == '\n' ? ' ' : character;
        }
        return result;
    }

    std::string seconds(std::chrono::microseconds duration)
    {
        if (duration == std::chrono::microseconds::max())
            return "+Inf";
        return std::to_string(static_cast<double>(duration.count()) / 1e6);
    }

} // namespace internal

Metrics::Metrics(std::size_t mostSeries)
    : m_mostSeries(mostSeries)
{
    assert(mostSeries > 0);
}

template <typename Series>
Series& Metrics::find(Table<Series>& table, SeriesName name)
{
    {
        const std::shared_lock lock(m_mutex);
        if (const auto found = table.find(name); found != table.end())
            return *found->second;
    }
    const std::unique_lock lock(m_mutex);
    if (table.size() >= m_mostSeries && !table.contains(name))
        name.value = internal::overflowLabel;
    auto& series = table[std::move(name)];
    if (!series)
        series = std::make_unique<Series>();
    return *series;
}

std::atomic<std::uint64_t>& Metrics::counter(std::string_view name, std::string_view label, std::string_view value)
{
    return find(m_counters, { std::string(name), std::string(label), std::string(value) });
}

LatencyHistogram& Metrics::latency(std::string_view name, std::string_view label, std::string_view value)
{
    return find(m_latencies, { std::string(name), std::string(label), std::string(value) });
}

std::string Metrics::prometheusText() const
{
    const std::shared_lock lock(m_mutex);
    std::string text;
    const auto labels = [](const SeriesName& series) { return series.label + "=\"" + internal::escaped(series.value) + '"'; };
    for (const auto& [series, count] : m_counters)
        text += internal::prefix + series.name + '{' + labels(series) + "} " + std::to_string(count->load()) + '\n';
    for (const auto& [series, histogram] : m_latencies) {
        std::uint64_t total = 0;
        for (const auto& bin : histogram->bins()) {
            total += bin.count;
            text += internal::prefix + series.name + "_bucket{" + labels(series) + ",le=\"" + internal::seconds(bin.upperBound) + "\"} " + std::to_string(total) + '\n';
        }
        text += internal::prefix + series.name + "_count{" + labels(series) + "} " + std::to_string(total) + '\n';
    }
    return text;
}

} // namespace lacewingsail

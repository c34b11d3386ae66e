#pragma once

namespace lacewingsail {

class Event;
class Journal;
class LatencyHistogram;
class Metrics;
template <typename Series>
class SeriesFamily;

} // namespace lacewingsail

#pragma once

namespace lacewingsail {

class Event;
class Journal;
class LatencyHistogram;
class Metrics;

} // namespace lacewingsail
